/**
 * Retries of failed attempts, within the verdict, the deadline and a budget for each pool.
 */
package org.trefoilpost.decision.retry;
