package org.trefoilpost.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.trefoilpost.decision.configuration.ChangeId;
import org.trefoilpost.decision.membership.EntryPoolLoad;
import org.trefoilpost.decision.membership.Heartbeat;
import org.trefoilpost.entry.configuration.ConfigurationStatus;
import org.trefoilpost.entry.membership.HeartbeatContent;
import org.trefoilpost.entry.request.LoadSnapshot;
import org.trefoilpost.entry.runtime.MillisClock;

/**
 * Puts the load and the configuration's version into heartbeats, and takes the peers' in.
 */
final class EntryHeartbeatContent implements HeartbeatContent {
    private static final long UNCONFIRMED = Long.MAX_VALUE;

    private final EntryDuties duties;
    private final MillisClock clock;

    EntryHeartbeatContent(EntryDuties duties, MillisClock clock) {
        this.duties = duties;
        this.clock = clock;
    }

    @Override
    public void fill(Heartbeat.Builder heartbeat) {
        if (!duties.isComplete()) {
            return;
        }
        ConfigurationStatus status = duties.configuration().status();
        long nowMillis = clock.nowMillis();
        OptionalLong asOf = status.confirmedAsOfMillis();
        heartbeat.config(status.version(), asOf.isPresent() ? Math.max(0, nowMillis - asOf.getAsLong()) : UNCONFIRMED);
        LoadSnapshot loads = duties.requests().loads();
        List<EntryPoolLoad> poolLoads = new ArrayList<>();
        loads.loadedPools()
                .forEach(pool -> poolLoads.add(EntryPoolLoad.of(
                        pool,
                        loads.queuedRequests(pool),
                        loads.attemptsInFlight().getOrDefault(pool, Map.of()))));
        heartbeat.loads(poolLoads);
        heartbeat.teamRequests(loads.teamRequests());
        heartbeat.shardEpochs(duties.claims().ownedEpochs());
    }

    @Override
    public String configurationChange() {
        return duties.configuration().status().change().map(ChangeId::text).orElse("");
    }

    @Override
    public void received(Heartbeat heartbeat, String configurationChange) {
        if (!duties.isComplete()) {
            return;
        }
        duties.requests().recordPeerLoads(heartbeat.sender().id(), heartbeat.loads(), heartbeat.teamRequests());
        duties.claims().observeEpochs(heartbeat.shardEpochs());
        if (!configurationChange.isEmpty()) {
            duties.configuration()
                    .receivePeerReport(
                            heartbeat.configVersion(), ChangeId.of(configurationChange), OptionalLong.empty());
        }
    }
}
