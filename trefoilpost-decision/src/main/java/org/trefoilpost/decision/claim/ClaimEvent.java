package org.trefoilpost.decision.claim;

/**
 * What happens to a claim shard.
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
                EpochObserved,
                StoreReply {}
