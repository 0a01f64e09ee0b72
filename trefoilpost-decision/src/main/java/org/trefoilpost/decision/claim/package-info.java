/**
 * At-most-once execution: the claims of idempotency keys, their journal in the key-value service, and the ownership of
 * the shards that hold them.
 */
package org.trefoilpost.decision.claim;
