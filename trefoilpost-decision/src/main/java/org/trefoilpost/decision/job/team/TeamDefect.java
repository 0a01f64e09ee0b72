package org.trefoilpost.decision.job.team;

import java.util.Objects;

/**
 * A defect of a team in a configuration, which is used all the same. Contains no key.
 *
 * @param kind  the kind of defect, not null
 * @param position  the position of the team in the configuration, from 1, or 0 if the defect concerns all teams
 * @param team  the team's name, empty if it has none, not null
 * @param detail  the fields or the positions of the keys concerned, may be empty, not null
 */
public record TeamDefect(Kind kind, int position, String team, String detail) {
    /**
     * Constructs a defect.
     */
    public TeamDefect {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * The kind of defect.
     */
    public enum Kind {
        /** The configuration has no list of teams, so that no key is known. */
        NO_TEAMS("no-teams"),
        /** The team has no name; it is left out, and its keys are unknown. */
        NO_NAME("no-name"),
        /** An earlier team has the same name; both are one team, with the limits of the later one. */
        REPEATED_NAME("repeated-name"),
        /** The team has no key that can be used. */
        NO_KEY("no-key"),
        /** A key is not a text or has an invalid length; it is left out. */
        INVALID_KEY("invalid-key"),
        /** A key belongs to an earlier team; it stays with that one. */
        KEY_OF_ANOTHER_TEAM("key-of-another-team"),
        /** The weight is missing or not greater than 0; 1 is used. */
        INVALID_WEIGHT("invalid-weight"),
        /** A limit is missing, negative or not a whole number; there is no limit. */
        INVALID_CAP("invalid-cap");

        private final String code;

        Kind(String code) {
            this.code = code;
        }

        /**
         * Returns the stable code for the log.
         *
         * @return the code, not null
         */
        public String code() {
            return code;
        }
    }
}
