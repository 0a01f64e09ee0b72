package org.trefoilpost.entry.peer;

/**
 * A message between entries.
 */
public sealed interface PeerMessage
        permits Challenge,
                Hello,
                HeartbeatFrame,
                ConfigurationPush,
                ConfigurationWanted,
                CordonNotice,
                LeavingNotice,
                HandOverNotice,
                PeerCall,
                PeerReply {}
