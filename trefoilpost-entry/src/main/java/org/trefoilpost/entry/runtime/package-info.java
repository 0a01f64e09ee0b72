/**
 * Threads for the entry's duties, each fed by a bounded ring, and the clock they share.
 */
package org.trefoilpost.entry.runtime;
