/**
 * Decides on machines: upkeep in waves, and moves between pools.
 */
package org.trefoilpost.decision.job.fleet;
