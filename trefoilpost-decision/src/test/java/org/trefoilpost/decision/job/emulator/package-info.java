/**
 * An emulator of the users' platform in virtual time: a store, workers and callers around the scheduler of one pool, with
 * seeded faults and with checks of what must always hold.
 */
package org.trefoilpost.decision.job.emulator;
