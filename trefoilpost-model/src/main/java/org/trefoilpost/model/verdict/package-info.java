/**
 * What a caller may conclude from an answer: whether its request ran, did not run, or may have run.
 */
package org.trefoilpost.model.verdict;
