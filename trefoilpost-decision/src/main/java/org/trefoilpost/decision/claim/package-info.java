/**
 * At-most-once execution of requests: the claims of idempotency keys, their journal in the key-value store, and the
 * ownership of the shards of keys.
 */
package org.trefoilpost.decision.claim;
