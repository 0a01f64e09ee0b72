/**
 * Admission of requests to a pool: the concurrency share of an entry, the bounded queue, classes and team quotas.
 */
package org.trefoilpost.decision.admission;
