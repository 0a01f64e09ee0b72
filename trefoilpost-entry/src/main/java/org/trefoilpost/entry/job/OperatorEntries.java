package org.trefoilpost.entry.job;

import java.util.Map;
import java.util.Optional;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.team.TeamDefect;

/**
 * The configuration in force and the waves that operators have written to the store. Used on the service's thread only,
 * unless a method says otherwise.
 */
final class OperatorEntries implements StoreMirror.Listener, ConfigurationGuard {
    private final JobContext context;
    private final StoreMirror mirror;
    private final OperatorWaves waves;
    private final Listener listener;
    private final ConfigurationStatus status;
    private JobConfiguration configuration;
    /** The item of the configuration in force, null before the first one. */
    private StorePort.Item configurationItem;
    /** The newest revision of the key of the configuration, also if its item cannot be read or has no newer version. */
    private long newestRevision;

    OperatorEntries(JobContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
        this.waves = new OperatorWaves(context, listener);
        this.status = new ConfigurationStatus(context);
        this.mirror = new StoreMirror(
                context.ports().formats().operatorPrefix(),
                context,
                context.settings().configurationBound().watchTimes(),
                () -> 0,
                this);
    }

    void start() {
        mirror.start();
    }

    /**
     * Watches again at once, as the store has returned after a silence.
     */
    void watchAgain() {
        mirror.watchAgain();
    }

    /**
     * Returns the configuration in force, empty before the first one.
     */
    Optional<JobConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    @Override
    public long version() {
        return configuration == null ? 0 : configuration.version();
    }

    @Override
    public Map<String, Long> condition() {
        return configurationItem == null ? Map.of() : Map.of(configurationItem.key(), newestRevision);
    }

    /**
     * Returns the operators' item of the configuration in force, empty before the first one.
     */
    Optional<StorePort.Item> configurationItem() {
        return Optional.ofNullable(configurationItem);
    }

    /**
     * Returns how recently the configuration was confirmed.
     */
    ConfigurationStatus status() {
        return status;
    }

    @Override
    public void itemFound(StorePort.Item item) {
        context.ports().formats().configuration(item).ifPresent(next -> configure(next, item));
        if (configurationItem != null && configurationItem.key().equals(item.key())) {
            newestRevision = Math.max(newestRevision, item.revision());
        }
    }

    /**
     * Discards the confirmation and watches again at once on a new connection, as the process has been suspended.
     */
    void suspended() {
        status.invalidate();
        context.store().renewConnections();
        mirror.watchAgain();
    }

    @Override
    public void reloaded() {
        waves.retain(mirror.items().keySet());
        mirror.items().forEach((key, item) -> itemChanged(key, Optional.of(item)));
    }

    @Override
    public void itemChanged(String key, Optional<StorePort.Item> item) {
        if (item.isEmpty()) {
            waves.itemRemoved(key);
            return;
        }
        itemFound(item.get());
        waves.itemWritten(item.get());
    }

    @Override
    public void changesApplied() {
        listener.changesApplied();
    }

    @Override
    public void watchUnanswered() {
        listener.watchUnanswered();
    }

    @Override
    public boolean needsConfirmation() {
        return true;
    }

    @Override
    public void confirmed(Moment confirmed) {
        status.confirmed(confirmed);
    }

    private void configure(JobConfiguration next, StorePort.Item item) {
        long formerVersion = version();
        if (configuration != null && next.version() <= formerVersion) {
            return;
        }
        context.logDecision(Decision.of("configuration-in-force")
                .with("version", next.version())
                .with("formerVersion", formerVersion)
                .with("revision", mirror.revision())
                .with("confirmedAge", status.displayedAgeMillis())
                .with("queues", next.queues().size())
                .with("pools", next.pools().size()));
        logTeamDefects(next);
        configuration = next;
        configurationItem = item;
        newestRevision = Math.max(newestRevision, item.revision());
        listener.configured(next);
    }

    /**
     * Logs the defects of the teams, once per version as each version is applied once.
     */
    private void logTeamDefects(JobConfiguration next) {
        if (context.settings().teamPolicy().keysRequired()) {
            for (TeamDefect defect : next.teams().defects()) {
                context.logDecision(Decision.failure("team-malformed")
                        .with("reason", defect.kind().code())
                        .with("team", defect.team())
                        .with("position", defect.position())
                        .with("detail", defect.detail())
                        .with("version", next.version()));
            }
        }
    }

    /**
     * Receives what operators have written.
     */
    interface Listener {
        /**
         * Handles a configuration that is in force from now on. Versions rise from call to call.
         */
        void configured(JobConfiguration configuration);

        /**
         * Handles a wave, which may have been passed before.
         *
         * @param revision  the revision of its item
         */
        void waveRequested(UpkeepWave wave, long revision);

        /**
         * Handles that the item of a wave has been removed.
         */
        void waveWithdrawn(long number);

        /**
         * Handles that all configurations and waves known so far have been passed on.
         */
        void changesApplied();

        /**
         * Handles that a watch of the operators' entries has had no answer, as its connection may have gone silent.
         */
        void watchUnanswered();
    }
}
