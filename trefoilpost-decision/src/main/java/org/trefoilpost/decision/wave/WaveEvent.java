package org.trefoilpost.decision.wave;

/**
 * Something that a plan's execution reacts to.
 */
public sealed interface WaveEvent
        permits BudgetExceeded, CancelRequested, DrainReport, PhaseCompleted, WaveResumed, WaveSaved, WaveTick {}
