package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Map;

/**
 * A change of the pool's stored jobs, carried out whole or not at all.
 *
 * @param number  the number of the change, which rises with each
 * @param puts  the documents to write by job, not null
 * @param removed  the jobs whose documents are removed, not null
 */
public record Commit(long number, Map<String, byte[]> puts, List<String> removed) {
    /** The most documents that one change may touch. */
    public static final int MAX_DOCUMENTS = 28;
}
