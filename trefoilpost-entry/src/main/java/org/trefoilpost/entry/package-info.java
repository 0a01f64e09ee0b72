/**
 * The entry instance: wires the duties to the callers, targets, peers, operators and the platform.
 */
package org.trefoilpost.entry;
