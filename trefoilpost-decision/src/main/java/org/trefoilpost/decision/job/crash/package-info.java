/**
 * Which tasks crash the workers that start them.
 */
package org.trefoilpost.decision.job.crash;
