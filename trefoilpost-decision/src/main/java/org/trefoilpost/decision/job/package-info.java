/**
 * The scheduler of the jobs of one pool: admission, placement, lease renewal, run tracking, takeover and evacuation.
 */
package org.trefoilpost.decision.job;
