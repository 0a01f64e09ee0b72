package org.trefoilpost.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;

class AdmissionQueueTest {
    private static final TeamName TEAM = TeamName.of("dock");
    private static final long FAR_DEADLINE_MILLIS = 1_000_000;

    private final TeamQuotas quotas = TeamQuotas.of(3_000);

    @Property(seed = "51", tries = 200)
    void everyRequestStartsOrIsRefusedOnceAndTheCountsAgree(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int limit) {
        Random random = new Random(seed);
        TeamQuotas teams = TeamQuotas.of(3_000);
        AdmissionQueue queue = queue(AdmissionSettings.builder().maxQueued(20).bulkShare(0.2), teams, limit);
        Map<Long, String> ends = new HashMap<>();
        Set<Long> running = new HashSet<>();
        long now = 0;
        for (long id = 0; id < 400; id++) {
            now += random.nextInt(40);
            expireAndPoll(queue, now, ends, running);
            RequestClass requestClass = RequestClass.values()[random.nextInt(3)];
            AdmissionRequest request = AdmissionRequest.of(id, requestClass, now + random.nextInt(2_000) - 50)
                    .withTeam(TEAM);
            queue.offer(request, now)
                    .forEach(refusal -> end(ends, refusal.request().id(), "refused"));
            expireAndPoll(queue, now, ends, running);
            if (random.nextInt(3) == 0 && queue.cancel(random.nextInt((int) id + 1))) {
                end(ends, -1, "none");
                ends.remove(-1L);
            }
            if (!running.isEmpty() && random.nextInt(3) > 0) {
                long done = running.iterator().next();
                running.remove(done);
                if (random.nextInt(5) == 0) {
                    queue.requeue(done);
                    ends.remove(done);
                } else {
                    queue.requestEnded(done);
                    queue.recordServiceTime(80 + random.nextInt(40));
                }
            }
            assertTrue(queue.started() <= limit, "the limit holds");
            assertEquals(running.size(), queue.started());
            assertEquals(queue.queued() + queue.started(), teams.ownRequests(TEAM), "each counts in its team's quota");
            assertTrue(queue.queued() <= 20 + limit, "the queue is bounded");
        }
    }

    @Property(seed = "52", tries = 100)
    void startsByClassThenDeadline(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionQueue queue = queue(AdmissionSettings.builder().bulkShare(0), quotas, 1_000);
        for (long id = 0; id < 100; id++) {
            RequestClass requestClass = RequestClass.values()[random.nextInt(3)];
            assertEquals(
                    List.of(),
                    queue.offer(AdmissionRequest.of(id, requestClass, FAR_DEADLINE_MILLIS + random.nextInt(50)), 0));
        }
        AdmissionRequest previous = queue.poll(0).orElseThrow();
        for (int i = 1; i < 100; i++) {
            AdmissionRequest next = queue.poll(0).orElseThrow();
            int order = previous.requestClass().compareTo(next.requestClass());
            assertTrue(order < 0 || (order == 0 && previous.deadlineMillis() <= next.deadlineMillis()));
            previous = next;
        }
    }

    @Property(seed = "53", tries = 50)
    void bulkKeepsItsShareUnderContinuousUrgentLoad(@ForAll @IntRange(min = 1, max = 50) int percent) {
        double share = percent / 100.0;
        AdmissionQueue queue = queue(AdmissionSettings.builder().bulkShare(share), quotas, 1);
        queue.offer(AdmissionRequest.of(0, RequestClass.BULK, FAR_DEADLINE_MILLIS), 0);
        int bulk = 0;
        for (long id = 1; id <= 1_000; id++) {
            queue.offer(AdmissionRequest.of(id, RequestClass.URGENT, FAR_DEADLINE_MILLIS), 0);
            queue.offer(AdmissionRequest.of(-id, RequestClass.BULK, FAR_DEADLINE_MILLIS), 0);
            AdmissionRequest started = queue.poll(0).orElseThrow();
            bulk += started.requestClass() == RequestClass.BULK ? 1 : 0;
            queue.requestEnded(started.id());
        }
        assertTrue(bulk >= (int) (1_000 * share) - 1 && bulk <= 1_000 * share + 1, bulk + " at " + share);
    }

    @Test
    void refusesAtArrivalWhatCannotBeServedInTime() {
        AdmissionQueue queue = queue(AdmissionSettings.builder().initialServiceMillis(100), quotas, 2);
        for (long id = 0; id < 2; id++) {
            queue.offer(normal(id, 120), 0);
            assertTrue(queue.poll(0).isPresent(), "a free slot is used");
        }
        assertEquals(List.of(), queue.offer(normal(2, 150), 0));
        assertEquals(List.of(), queue.offer(normal(3, 200), 0));
        Refusal refusal = queue.offer(normal(4, 240), 0).get(0);
        assertEquals(RefusalReason.DEADLINE_UNREACHABLE, refusal.reason(), "two are ahead: 150 ms + 100 ms");
        assertEquals(List.of(), queue.offer(normal(5, 250), 0));
        assertEquals(
                RefusalReason.DEADLINE_PAST, queue.offer(normal(6, 0), 0).get(0).reason());
    }

    @Test
    void refusesAtTheLatestStartTime() {
        AdmissionQueue queue = queue(AdmissionSettings.builder().initialServiceMillis(100), quotas, 1);
        queue.offer(normal(0, FAR_DEADLINE_MILLIS), 0);
        queue.poll(0);
        queue.offer(normal(1, 300), 0);
        queue.offer(AdmissionRequest.of(2, RequestClass.URGENT, 400), 0);
        assertEquals(200, queue.nextExpiryMillis().orElseThrow());
        assertEquals(List.of(), queue.expire(199));
        assertEquals(1, queue.expire(200).get(0).request().id());
        assertEquals(300, queue.nextExpiryMillis().orElseThrow());
        assertFalse(queue.cancel(1), "a refusal is final");
    }

    @Test
    void aFullQueueRefusesTheLowestClass() {
        AdmissionSettings.Builder settings =
                AdmissionSettings.builder().maxQueued(10).bulkShare(0.2);
        AdmissionQueue queue = queue(settings, quotas, 1);
        for (long id = 0; id < 10; id++) {
            RequestClass requestClass = id < 3 ? RequestClass.BULK : RequestClass.NORMAL;
            assertEquals(List.of(), queue.offer(AdmissionRequest.of(id, requestClass, FAR_DEADLINE_MILLIS + id), 0));
        }
        assertEquals(2, displacedBy(queue, 10, RequestClass.URGENT), "bulk above its places");
        assertEquals(9, displacedBy(queue, 11, RequestClass.URGENT), "then the last normal one");
        assertEquals(12, displacedBy(queue, 12, RequestClass.NORMAL), "normal does not displace normal");
        assertEquals(13, displacedBy(queue, 13, RequestClass.BULK));
    }

    @Test
    void quotasCountPeerRequestsUntilTheyExpire() {
        quotas.quotas(Map.of(TEAM, 3));
        AdmissionQueue queue = queue(AdmissionSettings.builder(), quotas, 10);
        quotas.peerRequests(EntryId.of("e1"), TEAM, 2, 0);
        assertEquals(List.of(), queue.offer(normal(0, FAR_DEADLINE_MILLIS).withTeam(TEAM), 0));
        Refusal refusal =
                queue.offer(normal(1, FAR_DEADLINE_MILLIS).withTeam(TEAM), 0).get(0);
        assertEquals(RefusalReason.QUOTA_EXCEEDED, refusal.reason());
        assertEquals(List.of(), queue.offer(normal(2, FAR_DEADLINE_MILLIS), 0), "others are not touched");
        assertEquals(List.of(), queue.offer(normal(3, FAR_DEADLINE_MILLIS).withTeam(TEAM), 3_000));
        queue.cancel(0);
        assertEquals(1, quotas.ownRequests(TEAM));
    }

    @Property(seed = "54", tries = 200)
    void retryAfterFollowsTheDrainTime(@ForAll long seed, @ForAll @IntRange(min = 1, max = 900) int waiting) {
        AdmissionSettings settings =
                AdmissionSettings.builder().initialServiceMillis(100).build();
        AdmissionQueue queue = AdmissionQueue.of(settings, quotas, new Random(seed));
        queue.limit(4);
        for (long id = 0; id < waiting; id++) {
            queue.offer(normal(id, FAR_DEADLINE_MILLIS), 0);
        }
        double drain = waiting * 100 / 4.0;
        long retryAfter = queue.retryAfterMillis();
        assertTrue(retryAfter >= Math.max(500, (long) (drain * 0.5)), retryAfter + " for " + drain);
        assertTrue(retryAfter <= Math.max(500, drain * 1.5) && retryAfter <= 30_000, retryAfter + " for " + drain);
    }

    @Test
    void rejectsAnIdThatIsInUse() {
        AdmissionQueue queue = queue(AdmissionSettings.builder(), quotas, 1);
        queue.offer(normal(1, FAR_DEADLINE_MILLIS), 0);
        queue.poll(0);
        assertThrows(IllegalArgumentException.class, () -> queue.offer(normal(1, FAR_DEADLINE_MILLIS), 0));
    }

    private static void expireAndPoll(AdmissionQueue queue, long now, Map<Long, String> ends, Set<Long> running) {
        queue.expire(now).forEach(refusal -> end(ends, refusal.request().id(), "refused"));
        Optional<AdmissionRequest> next = queue.poll(now);
        while (next.isPresent()) {
            assertTrue(next.get().deadlineMillis() > now, "nothing starts after its deadline");
            end(ends, next.get().id(), "started");
            running.add(next.get().id());
            next = queue.poll(now);
        }
    }

    private static void end(Map<Long, String> ends, long id, String how) {
        assertEquals(null, ends.put(id, how), "request " + id + " ended before");
    }

    private static long displacedBy(AdmissionQueue queue, long id, RequestClass requestClass) {
        List<Refusal> refusals = queue.offer(AdmissionRequest.of(id, requestClass, FAR_DEADLINE_MILLIS), 0);
        assertEquals(RefusalReason.QUEUE_FULL, refusals.get(0).reason());
        return refusals.get(0).request().id();
    }

    private static AdmissionQueue queue(AdmissionSettings.Builder settings, TeamQuotas quotas, int limit) {
        AdmissionQueue queue = AdmissionQueue.of(settings.build(), quotas, new Random(7));
        queue.limit(limit);
        return queue;
    }

    private static AdmissionRequest normal(long id, long deadlineMillis) {
        return AdmissionRequest.of(id, RequestClass.NORMAL, deadlineMillis);
    }
}
