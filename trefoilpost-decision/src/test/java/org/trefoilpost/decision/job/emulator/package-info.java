/**
 * Emulates the users' platform in virtual time: a store, workers and callers around the scheduler of one pool, with
 * seeded faults and checks of invariants.
 */
package org.trefoilpost.decision.job.emulator;
