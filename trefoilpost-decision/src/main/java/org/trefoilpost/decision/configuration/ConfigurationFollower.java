package org.trefoilpost.decision.configuration;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.trefoilpost.model.configuration.ConfigurationException;
import org.trefoilpost.model.configuration.ConfigurationPart;
import org.trefoilpost.model.configuration.NewerFormatException;

/**
 * Keeps the configuration of one entry up to date from the store, the watch and the peers.
 *
 * <p>The version in force only grows. Only the parts that changed are read, and a version comes into force once all its
 * parts are there. Not safe for use by several threads.
 */
public final class ConfigurationFollower implements ConfigurationView {
    /** The age of the last confirmation from which the configuration counts as stale, in milliseconds. */
    public static final long STALE_AFTER_MILLIS = 30_000;

    /** The age of the last confirmation from which the head is read again, in milliseconds. */
    public static final long POLL_INTERVAL_MILLIS = 5_000;

    /** The least time between two reads of the head, in milliseconds. */
    public static final long RETRY_INTERVAL_MILLIS = 500;

    /** How long the follower waits for a peer to send a change before it reads the store, in milliseconds. */
    public static final long PUSH_GRACE_MILLIS = 200;

    private static final long NEVER = Long.MIN_VALUE;
    private static final long NO_CALL = -1;
    private static final long NO_REVISION = 0;

    private final Map<ConfigurationAlarm, String> raisedAlarms = new EnumMap<>(ConfigurationAlarm.class);
    private Optional<ConfigurationSnapshot> inForce = Optional.empty();
    private Optional<PartFetch> pendingFetch = Optional.empty();
    private Optional<ChangeVersion> rejectedVersion = Optional.empty();
    private long highestVersionSeen;
    private long confirmedAsOfMillis = NEVER;
    private long headCallId = NO_CALL;
    private long headCallStartMillis;
    private long versionSeenAtHeadCall;
    private long wantedRevision = NO_REVISION;
    private long readNotBeforeMillis = NEVER;
    private long nextCallId;

    /**
     * Constructs a follower that has no configuration yet.
     */
    public ConfigurationFollower() {}

    @Override
    public Optional<ConfigurationSnapshot> inForce() {
        return inForce;
    }

    @Override
    public long highestVersionSeen() {
        return highestVersionSeen;
    }

    /**
     * Returns whether this entry has learnt the configuration in force, or that there is none yet.
     *
     * @return true once the store or a peer has told it
     */
    public boolean isInitialized() {
        return inForce.isPresent() || confirmedAsOfMillis != NEVER;
    }

    /**
     * Returns the time since the store last confirmed the version in force, directly or through a peer.
     *
     * @param nowMillis  the present time, in milliseconds
     * @return the age in milliseconds, not null, empty if it was never confirmed
     */
    public OptionalLong confirmationAgeMillis(long nowMillis) {
        return confirmedAsOfMillis == NEVER
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, nowMillis - confirmedAsOfMillis));
    }

    /**
     * Returns whether the last confirmation is too old for planned stops and moves.
     *
     * @param nowMillis  the present time, in milliseconds
     * @return true if there was no confirmation for {@link #STALE_AFTER_MILLIS}
     */
    public boolean isStale(long nowMillis) {
        return confirmationAgeMillis(nowMillis).orElse(STALE_AFTER_MILLIS) >= STALE_AFTER_MILLIS;
    }

    /**
     * Handles an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time, in milliseconds
     * @return what has to be done, in this order, not null
     */
    public List<ConfigurationAction> step(ConfigurationEvent event, long nowMillis) {
        List<ConfigurationAction> actions = new ArrayList<>();
        if (event instanceof StoreResult.ReadFound found) {
            readFound(found, nowMillis, actions);
        } else if (event instanceof StoreResult.ReadAbsent absent) {
            readAbsent(absent.callId(), nowMillis, actions);
        } else if (event instanceof StoreResult.CallFailed failed) {
            callFailed(failed.callId(), nowMillis, actions);
        } else if (event instanceof ConfigurationEvent.HeadChanged changed) {
            headChanged(changed.revision(), nowMillis);
        } else if (event instanceof ConfigurationEvent.HeadUnchanged unchanged) {
            headUnchanged(unchanged, nowMillis);
        } else if (event instanceof ConfigurationEvent.PeerReported reported) {
            peerReported(reported, nowMillis, actions);
        } else if (event instanceof ConfigurationEvent.UpdateReceived received) {
            updateReceived(received.update(), actions);
        }
        readIfDue(nowMillis, actions);
        return actions;
    }

    private void readIfDue(long nowMillis, List<ConfigurationAction> actions) {
        pendingFetch.ifPresent(pending -> pending.readMissing(nowMillis, this::nextCallId, actions));
        if (headCallId != NO_CALL || nowMillis < readNotBeforeMillis || !needsHeadRead(nowMillis)) {
            return;
        }
        headCallId = nextCallId();
        headCallStartMillis = nowMillis;
        versionSeenAtHeadCall = highestVersionSeen;
        wantedRevision = NO_REVISION;
        readNotBeforeMillis = nowMillis + RETRY_INTERVAL_MILLIS;
        actions.add(ConfigurationAction.ReadKey.of(headCallId, ConfigurationKeys.HEAD));
    }

    private boolean needsHeadRead(long nowMillis) {
        long pendingVersion =
                pendingFetch.map(pending -> pending.target().number()).orElse(0L);
        return wantedRevision != NO_REVISION
                || highestVersionSeen > Math.max(versionInForce(), pendingVersion)
                || confirmationAgeMillis(nowMillis).orElse(POLL_INTERVAL_MILLIS) >= POLL_INTERVAL_MILLIS;
    }

    private void readFound(StoreResult.ReadFound found, long nowMillis, List<ConfigurationAction> actions) {
        if (found.callId() == headCallId) {
            headCallId = NO_CALL;
            headFound(found, nowMillis, actions);
        } else if (pendingFetch.isPresent() && pendingFetch.get().owns(found.callId())) {
            pendingFetch.get().readFound(found.callId(), found.value());
            putInForceIfComplete(actions);
        }
    }

    private void headFound(StoreResult.ReadFound found, long nowMillis, List<ConfigurationAction> actions) {
        try {
            compareHead(ConfigurationDocumentCodec.readHead(found.value()), found.revision(), actions);
        } catch (NewerFormatException e) {
            raiseAlarm(ConfigurationAlarm.NEWER_FORMAT, e.getMessage(), actions);
        } catch (IllegalArgumentException e) {
            raiseAlarm(ConfigurationAlarm.UNREADABLE, e.getMessage(), actions);
        }
    }

    private void compareHead(ConfigurationHead head, long revision, List<ConfigurationAction> actions) {
        recordSeenVersion(head.version());
        if (head.version() < versionSeenAtHeadCall) {
            handleStoreBehind(head.version(), actions);
        }
        if (head.version() > versionInForce()) {
            startFetch(new PartFetch(head, revision, headCallStartMillis), actions);
        } else if (head.version() == versionInForce()) {
            compareChange(head, actions);
        }
    }

    private void compareChange(ConfigurationHead head, List<ConfigurationAction> actions) {
        ChangeId change = head.change().orElseThrow();
        if (change.equals(inForce.orElseThrow().version().change())) {
            confirm(headCallStartMillis);
            raisedAlarms.clear();
        } else {
            raiseDiverged(change, actions);
        }
    }

    private void handleStoreBehind(long storedVersion, List<ConfigurationAction> actions) {
        if (inForce.isPresent() && storedVersion < versionInForce()) {
            String detail = "the store has version " + storedVersion + ", in force is " + versionInForce();
            raiseAlarm(ConfigurationAlarm.STORE_BEHIND, detail, actions);
        }
        requestFromPeers(actions);
    }

    private void startFetch(PartFetch candidate, List<ConfigurationAction> actions) {
        boolean isRejected = rejectedVersion.filter(candidate.target()::equals).isPresent();
        boolean isUnderWay = pendingFetch
                .filter(pending -> pending.target().equals(candidate.target()))
                .isPresent();
        if (isRejected || isUnderWay) {
            return;
        }
        inForce.ifPresent(snapshot -> candidate.reuse(snapshot.documents()));
        pendingFetch.ifPresent(pending -> candidate.reuse(pending.documents()));
        pendingFetch = Optional.of(candidate);
        putInForceIfComplete(actions);
    }

    private void putInForceIfComplete(List<ConfigurationAction> actions) {
        if (pendingFetch.filter(PartFetch::isComplete).isEmpty()) {
            return;
        }
        PartFetch done = pendingFetch.get();
        pendingFetch = Optional.empty();
        if (putInForce(done.target(), done.documents(), actions)) {
            confirm(done.asOfMillis());
        }
    }

    private boolean putInForce(
            ChangeVersion version, Map<ConfigurationPart, PartDocument> documents, List<ConfigurationAction> actions) {
        if (version.number() <= versionInForce()) {
            return false;
        }
        try {
            ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(version, documents);
            inForce = Optional.of(snapshot);
            pendingFetch = pendingFetch.filter(pending -> pending.target().number() > version.number());
            wantedRevision = wantedRevision == version.revision() ? NO_REVISION : wantedRevision;
            actions.add(ConfigurationAction.Publish.of(snapshot));
            return true;
        } catch (NewerFormatException e) {
            reject(version, ConfigurationAlarm.NEWER_FORMAT, e, actions);
        } catch (ConfigurationException e) {
            reject(version, ConfigurationAlarm.UNREADABLE, e, actions);
        }
        return false;
    }

    private void reject(
            ChangeVersion version,
            ConfigurationAlarm alarm,
            RuntimeException cause,
            List<ConfigurationAction> actions) {
        rejectedVersion = Optional.of(version);
        raiseAlarm(alarm, "version " + version + ": " + cause.getMessage(), actions);
    }

    private void readAbsent(long callId, long nowMillis, List<ConfigurationAction> actions) {
        if (callId == headCallId) {
            headCallId = NO_CALL;
            headAbsent(actions);
        } else if (pendingFetch.isPresent() && pendingFetch.get().owns(callId)) {
            pendingFetch = Optional.empty();
            readNotBeforeMillis = nowMillis + RETRY_INTERVAL_MILLIS;
            requestFromPeers(actions);
        }
    }

    private void headAbsent(List<ConfigurationAction> actions) {
        if (versionSeenAtHeadCall == 0) {
            confirm(headCallStartMillis);
        } else {
            handleStoreBehind(0, actions);
        }
    }

    private void callFailed(long callId, long nowMillis, List<ConfigurationAction> actions) {
        if (callId == headCallId) {
            headCallId = NO_CALL;
            requestFromPeers(actions);
        } else if (pendingFetch.isPresent() && pendingFetch.get().owns(callId)) {
            pendingFetch.get().readFailed(callId, nowMillis + RETRY_INTERVAL_MILLIS);
            requestFromPeers(actions);
        }
    }

    private void headChanged(long revision, long nowMillis) {
        boolean isKnown = inForce.filter(snapshot -> snapshot.version().revision() == revision)
                        .isPresent()
                || pendingFetch
                        .filter(pending -> pending.target().revision() == revision)
                        .isPresent();
        if (isKnown) {
            return;
        }
        if (wantedRevision == NO_REVISION && headCallId == NO_CALL) {
            readNotBeforeMillis = nowMillis + PUSH_GRACE_MILLIS;
        }
        wantedRevision = revision;
    }

    private void headUnchanged(ConfigurationEvent.HeadUnchanged unchanged, long nowMillis) {
        boolean isCalm = headCallId == NO_CALL
                && pendingFetch.isEmpty()
                && wantedRevision == NO_REVISION
                && raisedAlarms.isEmpty();
        if (inForce.isEmpty() || !isCalm || highestVersionSeen > versionInForce()) {
            return;
        }
        if (unchanged.storeRevision() < inForce.get().version().revision()) {
            headChanged(unchanged.storeRevision(), nowMillis);
        } else {
            confirm(unchanged.asOfMillis());
        }
    }

    private void peerReported(
            ConfigurationEvent.PeerReported reported, long nowMillis, List<ConfigurationAction> actions) {
        if (reported.version() > highestVersionSeen && headCallId == NO_CALL) {
            readNotBeforeMillis = nowMillis + PUSH_GRACE_MILLIS;
        }
        recordSeenVersion(reported.version());
        if (inForce.isEmpty() || reported.version() != versionInForce()) {
            return;
        }
        if (reported.change().equals(inForce.get().version().change())) {
            reported.confirmedAsOfMillis().ifPresent(this::confirm);
        } else {
            raiseDiverged(reported.change(), actions);
        }
    }

    private void updateReceived(ConfigurationUpdate update, List<ConfigurationAction> actions) {
        recordSeenVersion(update.version().number());
        if (update.version().number() <= versionInForce()) {
            return;
        }
        Map<ConfigurationPart, PartDocument> documents = new TreeMap<>();
        if (update.base().isPresent()) {
            if (inForce.map(ConfigurationSnapshot::version)
                    .filter(update.base().get()::equals)
                    .isEmpty()) {
                return;
            }
            documents.putAll(inForce.get().documents());
        }
        documents.keySet().removeAll(update.removed());
        documents.putAll(update.written());
        putInForce(update.version(), documents, actions);
    }

    private void requestFromPeers(List<ConfigurationAction> actions) {
        if (highestVersionSeen > versionInForce()) {
            actions.add(ConfigurationAction.RequestFromPeers.of(versionInForce() + 1));
        }
    }

    private void raiseDiverged(ChangeId other, List<ConfigurationAction> actions) {
        String detail = "version " + versionInForce() + " was made by change "
                + inForce.orElseThrow().version().change() + " here and by change " + other + " elsewhere";
        raiseAlarm(ConfigurationAlarm.DIVERGED, detail, actions);
    }

    private void raiseAlarm(ConfigurationAlarm alarm, String detail, List<ConfigurationAction> actions) {
        if (!detail.equals(raisedAlarms.put(alarm, detail))) {
            actions.add(ConfigurationAction.RaiseAlarm.of(alarm, detail));
        }
    }

    private void recordSeenVersion(long version) {
        highestVersionSeen = Math.max(highestVersionSeen, version);
    }

    private void confirm(long asOfMillis) {
        confirmedAsOfMillis = Math.max(confirmedAsOfMillis, asOfMillis);
    }

    private long versionInForce() {
        return inForce.map(snapshot -> snapshot.version().number()).orElse(0L);
    }

    private long nextCallId() {
        return nextCallId++;
    }
}
