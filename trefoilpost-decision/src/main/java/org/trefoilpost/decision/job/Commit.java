package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An atomic change of the stored jobs of a pool.
 *
 * @param number  the sequence number of the change, increasing
 * @param puts  the documents to write by job identifier, may be empty, not null
 * @param removed  the identifiers of the jobs whose documents are removed, may be empty, not null
 * @param queues  the names of the queues that have stored jobs in the pool once the change is made, may be empty, not
 *     null
 * @param acceptsJobs  true if the change stores jobs for the first time, which accepts them
 * @param workers  the workers that may have runs of which the store does not know once the change is made, not null
 */
public record Commit(
        long number,
        Map<String, byte[]> puts,
        List<String> removed,
        Set<String> queues,
        boolean acceptsJobs,
        List<RegisteredWorker> workers) {
    /** The maximum number of documents written and removed by one change. */
    public static final int MAX_DOCUMENTS = 26;

    /** The maximum size of a document. */
    public static final int MAX_DOCUMENT_BYTES = 1_048_576;
}
