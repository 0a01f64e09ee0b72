/**
 * Retries of failed attempts, limited by repeatability, the deadline and a retry budget of each pool.
 */
package org.trefoilpost.decision.retry;
