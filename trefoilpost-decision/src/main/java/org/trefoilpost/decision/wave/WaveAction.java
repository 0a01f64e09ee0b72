package org.trefoilpost.decision.wave;

/**
 * Something that a plan's execution asks the executor to do.
 */
public sealed interface WaveAction permits EndPlan, SaveState, StepAction {}
