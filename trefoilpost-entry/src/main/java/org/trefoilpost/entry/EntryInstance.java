package org.trefoilpost.entry;

import java.time.Duration;
import org.trefoilpost.decision.configuration.ConfigurationUpdate;
import org.trefoilpost.decision.membership.Member;
import org.trefoilpost.entry.caller.CallerServer;
import org.trefoilpost.entry.claim.ClaimService;
import org.trefoilpost.entry.configuration.ConfigurationService;
import org.trefoilpost.entry.fleet.FleetContext;
import org.trefoilpost.entry.fleet.FleetReports;
import org.trefoilpost.entry.fleet.FleetService;
import org.trefoilpost.entry.fleet.PlanService;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.membership.MembershipService;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.operator.OperatorServer;
import org.trefoilpost.entry.operator.OperatorServices;
import org.trefoilpost.entry.peer.ConfigurationPush;
import org.trefoilpost.entry.peer.ConfigurationWanted;
import org.trefoilpost.entry.peer.LeavingNotice;
import org.trefoilpost.entry.peer.PeerNetwork;
import org.trefoilpost.entry.platform.HttpInstanceList;
import org.trefoilpost.entry.platform.HttpKeyValueStore;
import org.trefoilpost.entry.request.RequestContext;
import org.trefoilpost.entry.request.RequestService;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.settings.EntrySettings;
import org.trefoilpost.entry.target.HttpTargetClient;
import org.trefoilpost.entry.target.HttpWorkerControl;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.Configuration;

/**
 * An entry instance that runs: its listeners and its duties.
 */
public final class EntryInstance implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(EntryInstance.class);
    private static final long PENDING_POLL_MILLIS = 20;
    /** The part of the grace time, in milliseconds, in which the requests that are still pending get their verdicts. */
    private static final long VERDICT_MILLIS = 500;

    private final EntrySettings settings;
    private final MillisClock clock = MillisClock.steady();
    private final EntryMetrics metrics = EntryMetrics.create();
    private final EntryDuties duties = new EntryDuties();
    private final EntryGateway gateway = new EntryGateway(duties);
    private final HttpKeyValueStore store;
    private final HttpInstanceList instances;
    private final HttpTargetClient targets;
    private final HttpWorkerControl workers = new HttpWorkerControl();
    private OperatorServer operators;
    private CallerServer callers;

    private EntryInstance(EntrySettings settings) {
        this.settings = settings;
        this.store = HttpKeyValueStore.of(settings.platform());
        this.instances = HttpInstanceList.of(settings.platform());
        this.targets = HttpTargetClient.of(settings.heldAnswerBytes());
    }

    /**
     * Starts an entry.
     *
     * @param settings  the settings, not null
     * @return the entry, not null
     * @throws Exception if a listener cannot be started
     */
    public static EntryInstance start(EntrySettings settings) throws Exception {
        EntryInstance entry = new EntryInstance(settings);
        entry.startDuties();
        entry.startListeners();
        return entry;
    }

    /**
     * Returns the address for callers.
     *
     * @return the address, not null
     */
    public Endpoint callerEndpoint() {
        return callers.endpoint();
    }

    /**
     * Returns the address for operators.
     *
     * @return the address, not null
     */
    public Endpoint operatorEndpoint() {
        return operators.endpoint();
    }

    /**
     * Shuts down gracefully: takes no new requests, lets those in flight finish within the grace time, gives those that
     * are left a verdict, and leaves the other entries.
     */
    @Override
    public void close() {
        LOG.info(LogEvent.of("entry-stopping"));
        long endMillis = clock.nowMillis() + settings.graceMillis();
        long verdictMillis = Math.min(VERDICT_MILLIS, settings.graceMillis() / 2);
        gateway.shutDown();
        duties.claims().releaseShards();
        awaitPending(endMillis - verdictMillis);
        duties.claims().endPending();
        duties.requests().endPending();
        awaitPending(endMillis);
        callers.closeGracefully(Duration.ofMillis(Math.max(verdictMillis, endMillis - clock.nowMillis())));
        operators.close();
        duties.membership().deregister();
        duties.fleet().close();
        duties.claims().close();
        duties.configuration().close();
        duties.membership().close();
        duties.requests().close();
        duties.network().close();
        targets.close();
        workers.close();
        instances.close();
        store.close();
        LOG.info(LogEvent.of("entry-stopped"));
    }

    private void startDuties() throws InterruptedException {
        duties.requests(RequestService.start(
                RequestContext.of(settings.entryId(), settings.dataCentre(), targets, metrics, this::workerLeaves),
                settings.ringCapacity(),
                clock));
        duties.network(PeerNetwork.start(
                settings.entryId(),
                settings.peerListen(),
                settings.peerSecret(),
                new EntryPeerHandler(duties, clock),
                metrics));
        duties.configuration(ConfigurationService.start(store, metrics, new ConfigurationListener(), clock));
        Member self = Member.of(
                settings.entryId(), clock.nowMillis(), duties.network().endpoint());
        duties.membership(MembershipService.builder(self)
                .store(store)
                .network(duties.network())
                .content(new EntryHeartbeatContent(duties, clock))
                .metrics(metrics)
                .start(clock));
        duties.claims(ClaimService.start(settings, store, new EntryClaimPorts(duties, clock), metrics, clock));
        duties.fleet(FleetService.start(FleetContext.builder(settings.entryId())
                .platform(store, instances)
                .workers(workers)
                .ports(new EntryFleetPorts(duties))
                .metrics(metrics)
                .clock(clock)
                .build()));
        duties.configuration().status().configuration().ifPresent(this::inForce);
    }

    private void startListeners() throws Exception {
        operators = OperatorServer.start(
                settings.operatorListen(),
                settings.operatorToken(),
                OperatorServices.builder(settings.entryId())
                        .configuration(duties.configuration())
                        .membership(duties.membership())
                        .fleet(FleetReports.of(duties.fleet(), store), PlanService.of(duties.fleet(), store, clock))
                        .metrics(metrics)
                        .clock(clock)
                        .refusalReason(gateway::refusalReason)
                        .build());
        callers = CallerServer.start(settings.callerListen(), gateway, metrics, clock);
        LOG.info(LogEvent.of("entry-started")
                .with("entry", settings.entryId())
                .with("callers", callers.endpoint())
                .with("peers", duties.network().endpoint())
                .with("operators", operators.endpoint()));
    }

    private void awaitPending(long untilMillis) {
        while (duties.requests().pendingRequests() + duties.claims().pendingRequests() > 0
                && clock.nowMillis() < untilMillis) {
            try {
                Thread.sleep(PENDING_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void workerLeaves(WorkerId worker, long incarnation) {
        duties.network().broadcast(LeavingNotice.of(worker, incarnation));
    }

    private void inForce(Configuration configuration) {
        duties.requests().configure(configuration);
        duties.fleet().configure(configuration);
    }

    /**
     * Hands configurations to the duties and to the peers.
     */
    private final class ConfigurationListener implements ConfigurationService.Listener {
        @Override
        public void inForce(Configuration configuration) {
            if (duties.isComplete()) {
                EntryInstance.this.inForce(configuration);
            }
        }

        @Override
        public void pushToPeers(ConfigurationUpdate update) {
            duties.network().broadcast(ConfigurationPush.of(update));
        }

        @Override
        public void requestFromPeers(long version) {
            duties.network().broadcast(ConfigurationWanted.of(version));
        }
    }
}
