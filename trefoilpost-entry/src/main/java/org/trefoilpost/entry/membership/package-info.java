/**
 * Membership of the entries: registers this entry, exchanges heartbeats with the other entries, and tracks which are
 * alive.
 */
package org.trefoilpost.entry.membership;
