package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.Decision;

/**
 * The waves in the operators' items. A wave whose item cannot be read stays as it was last read; it is withdrawn when its
 * item is removed.
 */
final class OperatorWaves {
    private final JobContext context;
    private final OperatorEntries.Listener listener;
    /** The waves as last read, by the keys of their items. */
    private final Map<String, UpkeepWave> waves = new HashMap<>();
    /** The revisions of the items that cannot be read, by their keys. */
    private final Map<String, Long> unreadableRevisions = new HashMap<>();

    OperatorWaves(JobContext context, OperatorEntries.Listener listener) {
        this.context = context;
        this.listener = listener;
    }

    /**
     * Handles an item that was written, or read again. Items other than those of waves are ignored.
     */
    void itemWritten(StorePort.Item item) {
        PlatformFormats formats = context.ports().formats();
        if (!formats.isWaveKey(item.key())) {
            return;
        }
        Optional<UpkeepWave> wave = formats.wave(item);
        if (wave.isPresent()) {
            unreadableRevisions.remove(item.key());
            waves.put(item.key(), wave.get());
        } else {
            logUnreadable(item);
        }
        Optional.ofNullable(waves.get(item.key())).ifPresent(known -> listener.waveRequested(known, item.revision()));
    }

    /**
     * Handles that an item was removed.
     */
    void itemRemoved(String key) {
        unreadableRevisions.remove(key);
        Optional.ofNullable(waves.remove(key)).ifPresent(wave -> listener.waveWithdrawn(wave.number()));
    }

    /**
     * Removes the waves whose items are not among those of the store.
     *
     * @param presentKeys  the keys of all operators' items, not null
     */
    void retain(Set<String> presentKeys) {
        List<String> removed = new ArrayList<>(waves.keySet());
        removed.removeAll(presentKeys);
        removed.forEach(this::itemRemoved);
        unreadableRevisions.keySet().retainAll(presentKeys);
    }

    /**
     * Logs an item that cannot be read, once per revision as each read of all items passes it again.
     */
    private void logUnreadable(StorePort.Item item) {
        Long logged = unreadableRevisions.put(item.key(), item.revision());
        if (logged == null || logged != item.revision()) {
            context.logDecision(Decision.failure("wave-unreadable")
                    .with("key", item.key())
                    .with("revision", item.revision())
                    .with("bytes", item.value().length));
        }
    }
}
