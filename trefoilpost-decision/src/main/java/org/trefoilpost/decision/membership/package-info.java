/**
 * Membership of entries: heartbeats, failure detection, and discovery of peers by the addresses in heartbeats.
 *
 * <p>Each entry has a view of its own, which may differ from its peers' views. A decision that needs agreement never
 * rests on a view: it is made by one compare-and-swap in the platform's store.
 */
package org.trefoilpost.decision.membership;
