package org.trefoilpost.standins.platform;

/**
 * The kinds of calls that the platform counts.
 */
enum CallKind {
    /** A read of keys or of the list of instances. */
    READ("reads"),
    /** A write of a key or a call about a lease. */
    WRITE("writes"),
    /** A watch, which is one call however long it waits and uses the rate of the reads. */
    WATCH("watches");

    private final String counter;

    CallKind(String counter) {
        this.counter = counter;
    }

    String counter() {
        return counter;
    }
}
