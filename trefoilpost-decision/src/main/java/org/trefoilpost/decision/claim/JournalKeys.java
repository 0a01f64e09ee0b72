package org.trefoilpost.decision.claim;

/**
 * The keys of a shard's journal in the store.
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
