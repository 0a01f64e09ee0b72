/**
 * Measurements of the claim journal in virtual time: store calls, bytes, waits and memory.
 */
package org.trefoilpost.bench.claim;
