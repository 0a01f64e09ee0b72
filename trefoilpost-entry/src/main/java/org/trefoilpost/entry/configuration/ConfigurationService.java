package org.trefoilpost.entry.configuration;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.trefoilpost.decision.configuration.ChangeId;
import org.trefoilpost.decision.configuration.ChangeOutcome;
import org.trefoilpost.decision.configuration.ConfigurationAcceptor;
import org.trefoilpost.decision.configuration.ConfigurationAction;
import org.trefoilpost.decision.configuration.ConfigurationEvent;
import org.trefoilpost.decision.configuration.ConfigurationFollower;
import org.trefoilpost.decision.configuration.ConfigurationKeys;
import org.trefoilpost.decision.configuration.ConfigurationSnapshot;
import org.trefoilpost.decision.configuration.ConfigurationUpdate;
import org.trefoilpost.decision.configuration.StoreResult;
import org.trefoilpost.entry.log.Codes;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.platform.StoreWatcher;
import org.trefoilpost.entry.platform.WatchAnswer;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.model.configuration.Configuration;

/**
 * Follows the configuration in force and carries out operators' changes to it, on a thread of its own. The methods may
 * be called from any thread.
 */
public final class ConfigurationService implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ConfigurationService.class);
    private static final int QUEUE_CAPACITY = 1_024;
    private static final long TICK_INTERVAL_MILLIS = 100;

    private final ServiceThread<Event> serviceThread;
    private final KeyValueStore store;
    private final EntryMetrics metrics;
    private final Listener listener;
    private final ConfigurationFollower follower = new ConfigurationFollower();
    private final ConfigurationAcceptor acceptor = new ConfigurationAcceptor(follower);
    private final Map<ChangeId, CompletableFuture<ChangeOutcome>> pendingChanges = new HashMap<>();
    private final StoreCallExecutor followerStoreCalls;
    private final StoreCallExecutor acceptorStoreCalls;
    private StoreWatcher watcher;
    private volatile ConfigurationStatus status = ConfigurationStatus.initial();

    private ConfigurationService(
            ServiceThread<Event> serviceThread, KeyValueStore store, EntryMetrics metrics, Listener listener) {
        this.serviceThread = serviceThread;
        this.store = store;
        this.metrics = metrics;
        this.listener = listener;
        this.followerStoreCalls =
                new StoreCallExecutor(store, result -> serviceThread.post(now -> stepFollower(result, now)));
        this.acceptorStoreCalls =
                new StoreCallExecutor(store, result -> serviceThread.post(now -> stepAcceptor(result, now)));
    }

    /**
     * Starts the service.
     *
     * @param store  the platform's key-value service, not null
     * @param metrics  the metrics, not null
     * @param listener  the listener for the configuration in force and for messages to peers, not null
     * @param clock  the clock, not null
     * @return the service, not null
     */
    public static ConfigurationService start(
            KeyValueStore store, EntryMetrics metrics, Listener listener, MillisClock clock) {
        ServiceThread<Event> serviceThread = ServiceThread.of("configuration", QUEUE_CAPACITY, clock);
        ConfigurationService configuration = new ConfigurationService(serviceThread, store, metrics, listener);
        serviceThread.start((event, nowMillis) -> event.apply(nowMillis));
        serviceThread.post(configuration::tick);
        configuration.watcher = StoreWatcher.start(store, ConfigurationKeys.HEAD, 0, configuration::headWatched, clock);
        return configuration;
    }

    /**
     * Returns what this entry knows of the configuration in force.
     *
     * @return the status, not null
     */
    public ConfigurationStatus status() {
        return status;
    }

    /**
     * Requests the replacement of the whole configuration.
     *
     * @param configuration  the new configuration, not null
     * @param expectedVersion  the version that must be in force for the change to apply, empty for any, not null
     * @return the outcome of the change, not null
     */
    public CompletableFuture<ChangeOutcome> change(Configuration configuration, OptionalLong expectedVersion) {
        CompletableFuture<ChangeOutcome> outcome = new CompletableFuture<>();
        ChangeId change = ChangeId.of(UUID.randomUUID().toString());
        serviceThread.post(now -> {
            pendingChanges.put(change, outcome);
            stepAcceptor(ConfigurationEvent.ChangeRequested.of(change, configuration, expectedVersion), now);
        });
        return outcome;
    }

    /**
     * Handles a change that a peer sent.
     *
     * @param update  the change, not null
     */
    public void receiveUpdate(ConfigurationUpdate update) {
        serviceThread.post(now -> stepFollower(ConfigurationEvent.UpdateReceived.of(update), now));
    }

    /**
     * Handles the configuration state that a peer's heartbeat reported.
     *
     * @param version  the version in force at the peer
     * @param change  the change that made the version, not null
     * @param confirmedAsOfMillis  the time, in milliseconds since 1970, as of which the peer confirmed its version as
     *     the newest, empty if unknown, not null
     */
    public void receivePeerReport(long version, ChangeId change, OptionalLong confirmedAsOfMillis) {
        serviceThread.post(
                now -> stepFollower(ConfigurationEvent.PeerReported.of(version, change, confirmedAsOfMillis), now));
    }

    /**
     * Passes the whole configuration in force to a consumer, to answer a peer's request.
     *
     * @param lowestVersion  the lowest version to pass
     * @param answer  receives the configuration on the service's thread; not called if none is in force or it is older,
     *     not null
     */
    public void sendSnapshot(long lowestVersion, Consumer<ConfigurationUpdate> answer) {
        serviceThread.post(now -> follower.inForce()
                .filter(snapshot -> snapshot.version().number() >= lowestVersion)
                .map(ConfigurationSnapshot::toUpdate)
                .ifPresent(answer));
    }

    /**
     * Stops the watch of the key-value service and the service's thread.
     */
    @Override
    public void close() {
        watcher.close();
        serviceThread.close();
    }

    private void tick(long nowMillis) {
        stepFollower(ConfigurationEvent.Tick.of(), nowMillis);
        stepAcceptor(ConfigurationEvent.Tick.of(), nowMillis);
        status =
                status.withConfirmation(follower.confirmationAgeMillis(nowMillis), follower.isInitialized(), nowMillis);
        serviceThread.schedule(nowMillis + TICK_INTERVAL_MILLIS, this::tick);
    }

    private void headWatched(WatchAnswer answer, long startMillis) {
        Long revision = answer.changes().get(ConfigurationKeys.HEAD);
        if (revision != null) {
            serviceThread.post(now -> stepFollower(ConfigurationEvent.HeadChanged.of(revision), now));
        } else if (answer.changes().isEmpty()) {
            long asOfMillis = startMillis + StoreWatcher.WAIT.toMillis();
            serviceThread.post(now -> stepFollower(
                    ConfigurationEvent.HeadUnchanged.of(answer.revision(), Math.min(now, asOfMillis)), now));
        }
    }

    private void stepFollower(ConfigurationEvent event, long nowMillis) {
        execute(follower.step(event, nowMillis), followerStoreCalls, nowMillis);
    }

    private void stepAcceptor(ConfigurationEvent event, long nowMillis) {
        execute(acceptor.step(event, nowMillis), acceptorStoreCalls, nowMillis);
    }

    private void execute(List<ConfigurationAction> actions, StoreCallExecutor calls, long nowMillis) {
        for (ConfigurationAction action : actions) {
            execute(action, calls, nowMillis);
        }
    }

    private void execute(ConfigurationAction action, StoreCallExecutor calls, long nowMillis) {
        if (action instanceof ConfigurationAction.Publish publish) {
            publish(publish.snapshot(), nowMillis);
        } else if (action instanceof ConfigurationAction.PushToPeers push) {
            listener.pushToPeers(push.update());
            stepFollower(ConfigurationEvent.UpdateReceived.of(push.update()), nowMillis);
        } else if (action instanceof ConfigurationAction.RequestFromPeers request) {
            listener.requestFromPeers(request.minVersion());
        } else if (action instanceof ConfigurationAction.AnswerOperator answer) {
            Optional.ofNullable(pendingChanges.remove(answer.change()))
                    .ifPresent(outcome -> outcome.complete(answer.outcome()));
        } else if (action instanceof ConfigurationAction.RaiseAlarm alarm) {
            recordAlarm(alarm);
        } else {
            calls.execute(action);
        }
    }

    private void publish(ConfigurationSnapshot snapshot, long nowMillis) {
        long version = snapshot.version().number();
        Configuration configuration = snapshot.configuration().withVersion(version);
        status = status.withInForce(configuration, snapshot.version().change());
        LOG.info(LogEvent.of("configuration-in-force")
                .with("version", version)
                .with("change", snapshot.version().change()));
        listener.inForce(configuration);
        status =
                status.withConfirmation(follower.confirmationAgeMillis(nowMillis), follower.isInitialized(), nowMillis);
    }

    private void recordAlarm(ConfigurationAction.RaiseAlarm alarm) {
        metrics.count("trefoilpost.configuration.alarms", Codes.of(alarm.alarm()));
        LOG.warn(LogEvent.of("configuration-alarm")
                .with("alarm", Codes.of(alarm.alarm()))
                .with("detail", alarm.detail()));
    }

    /**
     * An action that runs on the service's thread.
     */
    @FunctionalInterface
    private interface Event {
        void apply(long nowMillis);
    }

    /**
     * Listener for configuration events. Its methods are called on the service's thread.
     */
    public interface Listener {
        /**
         * Handles a configuration that has come into force.
         *
         * @param configuration  the configuration with its version, not null
         */
        void inForce(Configuration configuration);

        /**
         * Sends a change to all peers.
         *
         * @param update  the change, not null
         */
        void pushToPeers(ConfigurationUpdate update);

        /**
         * Requests the configuration in force from all peers.
         *
         * @param version  the lowest version that peers are to send
         */
        void requestFromPeers(long version);
    }

    /**
     * Executes the calls to the key-value service that a state machine requests, and passes their results back to it.
     */
    private static final class StoreCallExecutor {
        private final KeyValueStore store;
        private final Consumer<StoreResult> results;

        private StoreCallExecutor(KeyValueStore store, Consumer<StoreResult> results) {
            this.store = store;
            this.results = results;
        }

        private void execute(ConfigurationAction action) {
            if (action instanceof ConfigurationAction.ReadKey read) {
                store.read(read.key())
                        .whenComplete((value, failure) -> results.accept(
                                failure != null
                                        ? StoreResults.failed(read.callId())
                                        : StoreResults.read(read.callId(), value)));
            } else if (action instanceof ConfigurationAction.WriteKey write) {
                byte[] bytes = write.value().getBytes(StandardCharsets.UTF_8);
                store.write(write.key(), write.expectedRevision(), bytes, Optional.empty())
                        .whenComplete((outcome, failure) -> results.accept(
                                failure != null
                                        ? StoreResults.failed(write.callId())
                                        : StoreResults.written(write.callId(), outcome)));
            } else if (action instanceof ConfigurationAction.DeleteKey delete) {
                store.delete(delete.key(), delete.expectedRevision());
            }
        }
    }
}
