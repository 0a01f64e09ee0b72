/**
 * Decisions on the jobs of one pool: admission, placement, renewal, ends, take-over and maintenance.
 */
package org.trefoilpost.decision.job;
