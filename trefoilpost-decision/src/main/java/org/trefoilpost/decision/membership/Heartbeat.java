package org.trefoilpost.decision.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.model.TeamName;

/**
 * What an entry tells its peers at each heartbeat.
 */
public final class Heartbeat {
    private final Member sender;
    private final long sequence;
    private final long configVersion;
    private final long configAgeMillis;
    private final List<Member> members;
    private final List<Member> suspects;
    private final List<EntryPoolLoad> loads;
    private final Map<TeamName, Integer> teamRequests;
    private final LeavingRegister leaving;
    private final Map<Integer, Long> shardEpochs;

    private Heartbeat(Builder builder) {
        this.sender = builder.sender;
        this.sequence = builder.sequence;
        this.configVersion = builder.configVersion;
        this.configAgeMillis = builder.configAgeMillis;
        this.members = List.copyOf(builder.members);
        this.suspects = List.copyOf(builder.suspects);
        this.loads = List.copyOf(builder.loads);
        this.teamRequests = Map.copyOf(builder.teamRequests);
        this.leaving = builder.leaving;
        this.shardEpochs = Map.copyOf(builder.shardEpochs);
    }

    /**
     * Returns a builder of a heartbeat without any state.
     *
     * @param sender  the entry that sends it, not null
     * @param sequence  the number that grows with each heartbeat of the sender's incarnation
     * @return the builder, not null
     */
    public static Builder builder(Member sender, long sequence) {
        return new Builder(sender, sequence);
    }

    /**
     * Returns the entry that sent this heartbeat.
     *
     * @return the sender, not null
     */
    public Member sender() {
        return sender;
    }

    /**
     * Returns the number that grows with each heartbeat of the sender's incarnation.
     *
     * @return the sequence number
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns the version of the configuration head that the sender has in force.
     *
     * @return the version
     */
    public long configVersion() {
        return configVersion;
    }

    /**
     * Returns the age of the sender's last confirmation of that version.
     *
     * @return the age in milliseconds
     */
    public long configAgeMillis() {
        return configAgeMillis;
    }

    /**
     * Returns the peers whose addresses travel with this heartbeat.
     *
     * @return the peers, not null
     */
    public List<Member> members() {
        return members;
    }

    /**
     * Returns the peers that the sender suspects.
     *
     * @return the peers, not null
     */
    public List<Member> suspects() {
        return suspects;
    }

    /**
     * Returns the sender's load in each pool.
     *
     * @return the loads, not null
     */
    public List<EntryPoolLoad> loads() {
        return loads;
    }

    /**
     * Returns the sender's requests of each team.
     *
     * @return the requests, not null
     */
    public Map<TeamName, Integer> teamRequests() {
        return teamRequests;
    }

    /**
     * Returns the workers that take no new work.
     *
     * @return the register, not null
     */
    public LeavingRegister leaving() {
        return leaving;
    }

    /**
     * Returns the epochs of the claim shards that the sender owns.
     *
     * @return the epoch of each shard, not null
     */
    public Map<Integer, Long> shardEpochs() {
        return shardEpochs;
    }

    /**
     * Returns a builder that holds this heartbeat's values.
     *
     * @return the builder, not null
     */
    public Builder toBuilder() {
        return new Builder(sender, sequence)
                .config(configVersion, configAgeMillis)
                .members(members)
                .suspects(suspects)
                .loads(loads)
                .teamRequests(teamRequests)
                .leaving(leaving)
                .shardEpochs(shardEpochs);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Heartbeat other
                && other.sender.equals(sender)
                && other.sequence == sequence
                && other.configVersion == configVersion
                && other.configAgeMillis == configAgeMillis
                && other.members.equals(members)
                && other.suspects.equals(suspects)
                && other.loads.equals(loads)
                && other.teamRequests.equals(teamRequests)
                && other.leaving.equals(leaving)
                && other.shardEpochs.equals(shardEpochs);
    }

    @Override
    public int hashCode() {
        return Objects.hash(sender, sequence);
    }

    /**
     * Returns the sender and the sequence number.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return sender + " " + sequence;
    }

    /**
     * Builder of heartbeats.
     */
    public static final class Builder {
        private final Member sender;
        private final long sequence;
        private long configVersion;
        private long configAgeMillis;
        private List<Member> members = List.of();
        private List<Member> suspects = List.of();
        private List<EntryPoolLoad> loads = List.of();
        private Map<TeamName, Integer> teamRequests = Map.of();
        private LeavingRegister leaving = LeavingRegister.empty();
        private Map<Integer, Long> shardEpochs = Map.of();

        private Builder(Member sender, long sequence) {
            this.sender = Objects.requireNonNull(sender, "sender");
            this.sequence = sequence;
        }

        /**
         * Sets what the sender knows of the configuration.
         *
         * @param version  the version of the head in force
         * @param ageMillis  the age of its last confirmation in milliseconds
         * @return this builder, not null
         */
        public Builder config(long version, long ageMillis) {
            this.configVersion = version;
            this.configAgeMillis = ageMillis;
            return this;
        }

        /**
         * Sets the peers whose addresses travel along.
         *
         * @param newMembers  the peers, not null
         * @return this builder, not null
         */
        public Builder members(List<Member> newMembers) {
            this.members = newMembers;
            return this;
        }

        /**
         * Sets the peers that the sender suspects.
         *
         * @param newSuspects  the peers, not null
         * @return this builder, not null
         */
        public Builder suspects(List<Member> newSuspects) {
            this.suspects = newSuspects;
            return this;
        }

        /**
         * Sets the sender's load in each pool.
         *
         * @param newLoads  the loads, not null
         * @return this builder, not null
         */
        public Builder loads(List<EntryPoolLoad> newLoads) {
            this.loads = newLoads;
            return this;
        }

        /**
         * Sets the sender's requests of each team.
         *
         * @param requests  the requests, not null
         * @return this builder, not null
         */
        public Builder teamRequests(Map<TeamName, Integer> requests) {
            this.teamRequests = requests;
            return this;
        }

        /**
         * Sets the workers that take no new work.
         *
         * @param register  the register, not null
         * @return this builder, not null
         */
        public Builder leaving(LeavingRegister register) {
            this.leaving = Objects.requireNonNull(register, "leaving");
            return this;
        }

        /**
         * Sets the epochs of the claim shards that the sender owns.
         *
         * @param epochs  the epoch of each shard, not null
         * @return this builder, not null
         */
        public Builder shardEpochs(Map<Integer, Long> epochs) {
            this.shardEpochs = epochs;
            return this;
        }

        /**
         * Builds the heartbeat.
         *
         * @return the heartbeat, not null
         */
        public Heartbeat build() {
            return new Heartbeat(this);
        }
    }
}
