package org.trefoilpost.decision.wave;

/**
 * An action that {@link WaveStateMachine} requests from the executor of a plan.
 */
public sealed interface WaveAction permits EndPlan, SaveState, StepAction {}
