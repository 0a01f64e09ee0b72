/**
 * Membership of entries: heartbeats, suspicion, and the addresses that travel on heartbeats.
 *
 * <p>Views are hints. Nothing is agreed by them: what must be agreed is one compare-and-swap in the platform's store.
 */
package org.trefoilpost.decision.membership;
