package org.trefoilpost.decision.claim;

/**
 * An event that a {@link ClaimShard} handles.
 */
public sealed interface ClaimEvent
        permits ClaimRequested,
                RequestCancelled,
                AnswerRecorded,
                OutcomeUnknown,
                DispatchAbandoned,
                TimerFired,
                TakeOverRequested,
                HandOverRequested,
                HandOverReceived,
                EntryStopping,
                EpochObserved,
                StoreReply {}
