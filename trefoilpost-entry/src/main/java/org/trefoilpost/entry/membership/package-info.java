/**
 * The membership's duty: registers this entry, exchanges heartbeats with the other entries, and knows who is alive.
 */
package org.trefoilpost.entry.membership;
