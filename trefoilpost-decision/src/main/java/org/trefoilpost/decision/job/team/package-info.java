/**
 * Teams on the job path: their keys, and how much of the pools' capacity each of them may use.
 */
package org.trefoilpost.decision.job.team;
