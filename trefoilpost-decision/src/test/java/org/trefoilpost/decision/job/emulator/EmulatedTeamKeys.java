package org.trefoilpost.decision.job.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.trefoilpost.decision.job.team.StoredGrants;

/**
 * Stores the claims of several pools and the keys of the teams, with revisions as the platform's store has them.
 */
final class EmulatedTeamKeys {
    private final Map<String, Long> claims = new HashMap<>();
    private final Map<String, StoredGrants> teams = new TreeMap<>();
    private long revision = 100;
    private int writes;

    /**
     * Claims a pool, and returns the fencing token.
     */
    long claim(String pool) {
        claims.put(pool, ++revision);
        return revision;
    }

    boolean isClaimedWith(String pool, long token) {
        return claims.get(pool) == token;
    }

    Map<String, StoredGrants> all() {
        return new TreeMap<>(teams);
    }

    Optional<StoredGrants> read(String team) {
        return Optional.ofNullable(teams.get(team));
    }

    /**
     * Writes a team's key if both conditions hold.
     *
     * @return the new revision, empty if a condition failed
     */
    Optional<Long> write(String team, long expected, String pool, long token, byte[] value) {
        long current = read(team).map(StoredGrants::revision).orElse(0L);
        if (current != expected || !isClaimedWith(pool, token)) {
            return Optional.empty();
        }
        put(team, value);
        return Optional.of(revision);
    }

    /**
     * Writes a team's key without conditions.
     */
    void put(String team, byte[] value) {
        writes++;
        teams.put(team, new StoredGrants(value, ++revision));
    }

    int writes() {
        return writes;
    }
}
