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
 * The entries' registrations in the key-value service, each under a lease.
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
     * Renews this entry's registration, or makes it anew when its lease has lapsed.
     *
     * @return the end, not null; fails with a {@link StoreException}
     */
    CompletableFuture<Void> renew() {
        String present = leaseId;
        if (present == null) {
            return register();
        }
        return store.renewLease(present)
                .thenCompose(renewed -> renewed ? CompletableFuture.completedFuture(null) : register());
    }

    /**
     * Reads all registrations.
     *
     * @return the entries, not null; fails with a {@link StoreException}
     */
    CompletableFuture<List<Member>> list() {
        return store.list(KEY_PREFIX).thenApply(values -> {
            List<Member> members = new ArrayList<>();
            values.forEach(value -> decode(value).ifPresent(members::add));
            return members;
        });
    }

    /**
     * Takes this entry's registration out.
     *
     * @return the end, not null; fails with a {@link StoreException}
     */
    CompletableFuture<Void> deregister() {
        String present = leaseId;
        leaseId = null;
        return present == null ? CompletableFuture.completedFuture(null) : store.endLease(present);
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
