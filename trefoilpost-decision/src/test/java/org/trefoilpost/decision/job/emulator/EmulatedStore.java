package org.trefoilpost.decision.job.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.RegisteredWorker;

/**
 * Stores the jobs of a pool. A commit has the same preconditions as in the entry's store adapter: the owner's fencing token
 * and the identifier of the last commit.
 */
final class EmulatedStore {
    private final Map<String, byte[]> documents = new LinkedHashMap<>();
    private long token;
    private String lastCommitId = "";
    private Optional<List<RegisteredWorker>> workers = Optional.empty();

    long claim() {
        return ++token;
    }

    Map<String, byte[]> documents() {
        return new LinkedHashMap<>(documents);
    }

    /**
     * Returns the workers that may have runs of which the store does not know, empty if no commit has named any.
     */
    Optional<List<RegisteredWorker>> workers() {
        return workers;
    }

    long token() {
        return token;
    }

    String lastCommitId() {
        return lastCommitId;
    }

    /**
     * Applies a commit if its preconditions hold; a repetition of the last commit changes nothing.
     */
    Outcome commit(long owner, String expectedCommitId, String commitId, Commit commit) {
        if (owner != token) {
            return Outcome.OWNERSHIP_LOST;
        }
        if (lastCommitId.equals(commitId)) {
            return Outcome.DONE;
        }
        if (!lastCommitId.equals(expectedCommitId)) {
            return Outcome.CONFLICT;
        }
        lastCommitId = commitId;
        documents.putAll(commit.puts());
        workers = Optional.of(commit.workers());
        commit.removed().forEach(documents::remove);
        return Outcome.DONE;
    }

    /**
     * The outcome of a commit.
     */
    enum Outcome {
        /** The commit is stored. */
        DONE,
        /** Another owner has claimed the pool. */
        OWNERSHIP_LOST,
        /** Another commit was stored before. */
        CONFLICT
    }
}
