package org.trefoilpost.decision.job.emulator;

import java.util.LinkedHashMap;
import java.util.Map;
import org.trefoilpost.decision.job.Commit;

/**
 * The stored jobs of a pool, changed only under the conditions that the entry's store adapter sets: the owner's token and
 * the number of the last change.
 */
final class EmulatedStore {
    private final Map<String, byte[]> documents = new LinkedHashMap<>();
    private long token;
    private String lastCommitId = "";

    long claim() {
        return ++token;
    }

    Map<String, byte[]> documents() {
        return new LinkedHashMap<>(documents);
    }

    long token() {
        return token;
    }

    String lastCommitId() {
        return lastCommitId;
    }

    /**
     * Carries a change out if its conditions hold.
     */
    Outcome commit(long owner, String expectedMark, String mark, Commit commit) {
        if (owner != token) {
            return Outcome.OWNERSHIP_LOST;
        }
        if (lastCommitId.equals(mark)) {
            return Outcome.DONE;
        }
        if (!lastCommitId.equals(expectedMark)) {
            return Outcome.CONFLICT;
        }
        lastCommitId = mark;
        documents.putAll(commit.puts());
        commit.removed().forEach(documents::remove);
        return Outcome.DONE;
    }

    /**
     * The outcome of a change.
     */
    enum Outcome {
        /** The change is stored. */
        DONE,
        /** Another owner has claimed the pool. */
        OWNERSHIP_LOST,
        /** Another change came first. */
        CONFLICT
    }
}
