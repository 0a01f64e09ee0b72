/**
 * The claims' duty: runs each request with an idempotency key at most once, over all entries.
 */
package org.trefoilpost.entry.claim;
