/**
 * Verdicts on requests: whether a request was answered, did not run, or may have run, and the reasons.
 */
package org.trefoilpost.model.verdict;
