package org.trefoilpost.decision.claim;

/**
 * An action that a {@link ClaimShard} asks its entry to carry out.
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
