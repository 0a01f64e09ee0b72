package org.trefoilpost.decision.wave;

/**
 * An input of {@link WaveStateMachine}.
 */
public sealed interface WaveEvent
        permits BudgetExceeded, CancelRequested, DrainReport, PhaseCompleted, WaveResumed, WaveSaved, WaveTick {}
