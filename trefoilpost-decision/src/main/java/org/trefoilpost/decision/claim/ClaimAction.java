package org.trefoilpost.decision.claim;

/**
 * What a claim shard wants done.
 */
public sealed interface ClaimAction
        permits SetTimer,
                OwnershipGained,
                OwnershipLost,
                HandOverReady,
                StoreRestored,
                JournalRefused,
                StoreCall,
                RequestAction {}
