package org.trefoilpost.entry.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.membership.Member;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.platform.StoreException;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * The registrations of the entries in the key-value service. Each registration is bound to a lease and expires with it.
 */
final class EntryRegistry {
    private static final EventLog LOG = EventLog.of(EntryRegistry.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY_PREFIX = "trefoilpost/entries/";
    private static final Duration LEASE_DURATION = Duration.ofSeconds(15);
    private static final int FORMAT_VERSION = 1;

    private final KeyValueStore store;
    private final Member self;
    private volatile String leaseId;

    EntryRegistry(KeyValueStore store, Member self) {
        this.store = store;
        this.self = self;
    }

    /**
     * Renews the lease of this entry's registration, or registers the entry again if it has no lease or the lease
     * expired.
     *
     * @return completes when the call is done, not null; fails with a {@link StoreException}
     */
    CompletableFuture<Void> renew() {
        String currentLease = leaseId;
        if (currentLease == null) {
            return register();
        }
        return store.renewLease(currentLease)
                .thenCompose(renewed -> renewed ? CompletableFuture.completedFuture(null) : register());
    }

    /**
     * Reads the registrations of all entries. A malformed registration is logged and skipped.
     *
     * @return the registered entries, this one included, not null; fails with a {@link StoreException}
     */
    CompletableFuture<List<Member>> list() {
        return store.list(KEY_PREFIX).thenApply(values -> {
            List<Member> members = new ArrayList<>();
            values.forEach(value -> decode(value).ifPresent(members::add));
            return members;
        });
    }

    /**
     * Removes this entry's registration by ending its lease. Does nothing if the entry is not registered.
     *
     * @return completes when the call is done, not null; fails with a {@link StoreException}
     */
    CompletableFuture<Void> deregister() {
        String currentLease = leaseId;
        leaseId = null;
        return currentLease == null ? CompletableFuture.completedFuture(null) : store.endLease(currentLease);
    }

    private CompletableFuture<Void> register() {
        String key = KEY_PREFIX + self.id();
        return store.grantLease(LEASE_DURATION)
                .thenCompose(granted -> store.read(key).thenCompose(value -> {
                    long revision = value.map(StoredValue::revision).orElse(0L);
                    return store.write(key, revision, encode(), Optional.of(granted))
                            .thenAccept(outcome -> {
                                if (outcome.isWritten()) {
                                    leaseId = granted;
                                    LOG.info(LogEvent.of("entry-registered").with("incarnation", self.incarnation()));
                                }
                            });
                }));
    }

    private byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode()
                .put("format", FORMAT_VERSION)
                .put("entry", self.id().text())
                .put("incarnation", self.incarnation())
                .put("peer", self.endpoint().toString());
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static Optional<Member> decode(StoredValue value) {
        try {
            JsonNode node = MAPPER.readTree(value.bytes());
            return Optional.of(Member.of(
                    EntryId.of(node.path("entry").asText()),
                    node.path("incarnation").asLong(),
                    Endpoint.parse(node.path("peer").asText())));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn(LogEvent.of("registration-malformed")
                    .with("key", value.key())
                    .withFailure(e));
            return Optional.empty();
        }
    }
}
