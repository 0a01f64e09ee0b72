/**
 * The claim service: runs each request with an idempotency key at most once across all entries.
 */
package org.trefoilpost.entry.claim;
