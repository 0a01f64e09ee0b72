package org.trefoilpost.entry.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.trefoilpost.decision.job.ConfigurationInquiry;
import org.trefoilpost.decision.job.ConfigurationReport;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.entry.peer.PoolAnswer;

/**
 * Asks other entries for the configuration while its confirmation is not young, and answers those that ask. Used on the
 * service's thread only.
 */
final class ConfigurationPeers {
    /** A call on a silent connection is given up after this time; other entries are asked meanwhile. */
    private static final long CALL_TIMEOUT_MILLIS = 500;

    /** Maximum time for which a connection to an entry is awaited before the entry is not asked. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    /** How long a connection is kept after an entry was chosen, as it may be chosen again. */
    private static final long KEEP_CONNECTED_MILLIS = 10_000;

    private final JobContext context;
    private final OperatorEntries operatorEntries;
    private final OwnerConnections connections;
    private final ConfigurationInquiry inquiry;
    private final Map<String, Connecting> connecting = new HashMap<>();
    private boolean unconfirmedLogged;
    /** Whether the latest confirmation is from an entry and that has been logged. */
    private boolean confirmationLogged;

    ConfigurationPeers(JobContext context, OperatorEntries operatorEntries, OwnerConnections connections) {
        this.context = context;
        this.operatorEntries = operatorEntries;
        this.connections = connections;
        this.inquiry = new ConfigurationInquiry(
                context.settings().configurationBound(), context.settings().name());
    }

    /**
     * Asks an entry if that is due.
     */
    void tick(LiveEntries liveEntries, long nowMillis) {
        OptionalLong ageMillis = operatorEntries.status().ageMillis();
        logUnconfirmed(ageMillis);
        Map<String, LiveEntries.Peer> peers = new HashMap<>();
        liveEntries.entries().forEach(peer -> peers.put(peer.name(), peer));
        peers.remove(context.settings().name());
        inquiry.peerToAsk(ageMillis, peers.keySet(), nowMillis).ifPresent(name -> {
            connections.keepConnected(peers.get(name), nowMillis + KEEP_CONNECTED_MILLIS);
            connecting.put(name, new Connecting(peers.get(name), nowMillis + CONNECT_TIMEOUT_MILLIS));
        });
        for (Connecting next : List.copyOf(connecting.values())) {
            if (connections.isConnected(next.peer)) {
                connecting.remove(next.peer.name());
                ask(next.peer);
            } else if (nowMillis > next.untilMillis) {
                connecting.remove(next.peer.name());
            }
        }
    }

    private void logUnconfirmed(OptionalLong ageMillis) {
        boolean unconfirmed = operatorEntries.version() > 0
                && !context.settings().configurationBound().isConfirmed(ageMillis);
        if (unconfirmed && !unconfirmedLogged) {
            context.logDecision(Decision.failure("configuration-unconfirmed")
                    .with("version", operatorEntries.version())
                    .with("age", operatorEntries.status().displayedAgeMillis())
                    .with("void", ageMillis.isEmpty()));
        }
        unconfirmedLogged = unconfirmed;
        if (ageMillis.isPresent()
                && ageMillis.getAsLong()
                        <= context.settings().configurationBound().applyMillis() / 4) {
            confirmationLogged = false;
        }
    }

    private void ask(LiveEntries.Peer peer) {
        Moment sent = context.now();
        byte[] request = ConfigurationMessages.encodeRequest(operatorEntries.version());
        context.call(() -> connections.call(peer, "", request, CALL_TIMEOUT_MILLIS), (answer, failure) -> {
            if (failure == null && answer.isOwner()) {
                ConfigurationMessages.decodeAnswer(answer.reply()).ifPresent(decoded -> take(peer, sent, decoded));
            }
            // A call without an answer needs no retry, as another entry is asked next.
        });
    }

    private void take(LiveEntries.Peer peer, Moment sent, ConfigurationMessages.Answer answer) {
        ConfigurationReport report = answer.report();
        boolean newer = report.isNewerThan(operatorEntries.version());
        if (newer) {
            answer.item().ifPresent(operatorEntries::itemFound);
        }
        long formerAgeMillis = operatorEntries.status().displayedAgeMillis();
        report.confirms(sent, operatorEntries.version()).ifPresent(operatorEntries.status()::confirmed);
        long ageMillis = operatorEntries.status().displayedAgeMillis();
        if (newer || ageMillis < formerAgeMillis && !confirmationLogged) {
            confirmationLogged = true;
            context.logDecision(Decision.of("configuration-from-peer")
                    .with("version", operatorEntries.version())
                    .with("newer", newer)
                    .with("age", ageMillis)
                    .with("formerAge", formerAgeMillis)
                    .with("peer", peer.name()));
        }
    }

    /**
     * Answers a call without a pool: a request for the configuration, or a ping.
     */
    PoolAnswer answer(long callId, byte[] request) {
        OptionalLong knownVersion = ConfigurationMessages.decodeRequest(request);
        if (knownVersion.isEmpty()) {
            return PoolAnswer.of(callId, false, new byte[0]);
        }
        ConfigurationReport report = new ConfigurationReport(
                operatorEntries.version(), operatorEntries.status().ageMillis());
        Optional<StorePort.Item> item =
                report.isNewerThan(knownVersion.getAsLong()) ? operatorEntries.configurationItem() : Optional.empty();
        return PoolAnswer.of(
                callId, true, ConfigurationMessages.encodeAnswer(new ConfigurationMessages.Answer(report, item)));
    }

    /** An entry that is asked once the connection to it is established. */
    private record Connecting(LiveEntries.Peer peer, long untilMillis) {}
}
