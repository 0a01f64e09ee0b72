package org.trefoilpost.decision.job.team;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The teams of a configuration and the keys with which their callers authenticate.
 *
 * <p>Only digests of the keys are held, so that a key cannot reach a log line or a dump through this class.
 */
public final class Teams {
    /** A configuration without teams. */
    public static final Teams NONE = builder().build();

    private final Map<String, TeamConfig> teams;
    private final Map<String, String> teamsByKeyDigest;
    private final List<TeamDefect> defects;

    private Teams(Builder builder) {
        this.teams = Map.copyOf(builder.teams);
        this.teamsByKeyDigest = Map.copyOf(builder.teamsByKeyDigest);
        this.defects = List.copyOf(builder.defects);
    }

    /**
     * Obtains a builder without teams.
     *
     * @return the builder, not null
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns a team's configuration.
     *
     * @param name  the team's name, not null
     * @return the configuration, empty if there is no such team, not null
     */
    public Optional<TeamConfig> team(String name) {
        return Optional.ofNullable(teams.get(name));
    }

    /**
     * Returns all teams.
     *
     * @return the teams in no particular order, not null
     */
    public Collection<TeamConfig> all() {
        return teams.values();
    }

    /**
     * Returns the team that a key belongs to.
     *
     * @param key  the key that a caller sent, not null
     * @return the team's name, empty if no team has the key, not null
     */
    public Optional<String> teamOfKey(String key) {
        return Optional.ofNullable(teamsByKeyDigest.get(digest(key)));
    }

    /**
     * Returns whether the use of resources is limited for any team.
     *
     * @return true if a team has a limit
     */
    public boolean hasLimits() {
        return teams.values().stream().anyMatch(TeamConfig::isLimited);
    }

    /**
     * Returns the defects that were found when the teams were decoded.
     *
     * @return the defects in the order of the configuration, may be empty, not null
     */
    public List<TeamDefect> defects() {
        return defects;
    }

    private static String digest(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /**
     * Collects teams and their keys.
     */
    public static final class Builder {
        private final Map<String, TeamConfig> teams = new LinkedHashMap<>();
        private final Map<String, String> teamsByKeyDigest = new HashMap<>();
        private final List<TeamDefect> defects = new ArrayList<>();

        private Builder() {}

        /**
         * Adds a team. Of several teams with one name the last is used.
         *
         * @param team  the team, not null
         * @return this builder, not null
         */
        public Builder team(TeamConfig team) {
            teams.put(team.name(), team);
            return this;
        }

        /**
         * Adds a key, unless another team has it.
         *
         * @param team  the name of the team, not null
         * @param key  the key, not null
         * @return true if the key now belongs to the team, false if it belongs to another one
         */
        public boolean addKey(String team, String key) {
            String owner = teamsByKeyDigest.putIfAbsent(digest(key), team);
            return owner == null || owner.equals(team);
        }

        /**
         * Returns whether a team of this name was added.
         *
         * @param name  the team's name, not null
         * @return true if it was added
         */
        public boolean hasTeam(String name) {
            return teams.containsKey(name);
        }

        /**
         * Adds a defect, which does not keep the teams from being used.
         *
         * @param defect  the defect, not null
         * @return this builder, not null
         */
        public Builder defect(TeamDefect defect) {
            defects.add(defect);
            return this;
        }

        /**
         * Builds the teams.
         *
         * @return the teams, not null
         */
        public Teams build() {
            return new Teams(this);
        }
    }
}
