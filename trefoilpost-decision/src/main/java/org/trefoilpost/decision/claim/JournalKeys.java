package org.trefoilpost.decision.claim;

/**
 * The store keys of a shard's journal.
 */
final class JournalKeys {
    private final String prefix;

    JournalKeys(int shard) {
        prefix = "trefoilpost/claims/" + shard + "/";
    }

    String tail() {
        return prefix + "tail";
    }

    String archive(long sequence) {
        return prefix + String.format("%012d", sequence);
    }
}
