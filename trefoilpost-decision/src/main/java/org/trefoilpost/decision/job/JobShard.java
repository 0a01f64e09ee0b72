package org.trefoilpost.decision.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.WorkerId;

/**
 * One shard of jobs at one executor: events in, actions out. The document in the store is the only truth.
 *
 * <p>All changes that come while a write is under way go into the next one. Calls to workers follow from the document as
 * saved, never from one whose write has no known outcome.
 */
public final class JobShard {
    private static final long ASK_AGAIN_MILLIS = 2_000;

    private final int shard;
    private final JobPlacer placer;
    private final String executor;
    private final TaskContacts contacts;
    private final Deque<JobEvent> pending = new ArrayDeque<>();
    private final Set<JobId> warned = new HashSet<>();
    private final Map<JobId, Long> preemptionAsked = new HashMap<>();
    private Map<WorkerId, JobWorker> workers = Map.of();
    private JobFleet fleet;
    private JobDocument saved;
    private long revision;
    private Attempt attempt;
    private boolean loading;
    private boolean stale = true;
    private boolean active;

    private JobShard(int shard, String executor, JobPlacer placer) {
        this.shard = shard;
        this.executor = executor;
        this.placer = placer;
        this.contacts = new TaskContacts(executor);
    }

    /**
     * Obtains a shard that has not been read yet.
     *
     * @param shard  the number of the shard
     * @param executor  the name of this executor process, never reused by another process, not null
     * @param placer  the placer, not null
     * @return the shard, not null
     */
    public static JobShard of(int shard, String executor, JobPlacer placer) {
        return new JobShard(shard, executor, placer);
    }

    /**
     * Returns the document as last read or written.
     *
     * @return the document, not null, empty before the first read
     */
    public Optional<JobDocument> saved() {
        return Optional.ofNullable(saved);
    }

    /**
     * Takes in an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since 1970
     * @return what the runtime is to do, in this order, not null
     */
    public List<JobAction> step(JobEvent event, long nowMillis) {
        List<JobAction> actions = new ArrayList<>();
        if (event instanceof ShardLoaded loaded) {
            loaded(loaded);
        } else if (event instanceof ShardSaved outcome) {
            savedOutcome(outcome, actions);
        } else if (event instanceof FleetSeen seen) {
            see(seen.fleet());
        } else if (event instanceof JobTick tick) {
            stale |= tick.isActive() && !active;
            active = tick.isActive();
        } else if (event instanceof TaskReported reported) {
            reported(reported, nowMillis);
        } else {
            pending.add(event);
        }
        advance(nowMillis, actions);
        return actions;
    }

    private void loaded(ShardLoaded loaded) {
        if (attempt != null || !stale && loaded.revision() <= revision) {
            return;
        }
        loading = false;
        stale = false;
        adopt(loaded.document(), loaded.revision());
    }

    private void savedOutcome(ShardSaved outcome, List<JobAction> actions) {
        if (attempt == null) {
            return;
        }
        Attempt ended = attempt;
        attempt = null;
        if (outcome.outcome() == SaveOutcome.WRITTEN) {
            adopt(ended.document, outcome.revision());
            actions.addAll(ended.answers);
        } else {
            for (int i = ended.events.size() - 1; i >= 0; i--) {
                pending.addFirst(ended.events.get(i));
            }
            stale = true;
        }
    }

    private void adopt(JobDocument document, long newRevision) {
        JobDocument before = saved;
        saved = document;
        revision = newRevision;
        document.jobs().forEach((id, job) -> {
            if (job.lease().isEmpty()) {
                contacts.forget(id);
            } else if (before == null || !Optional.of(job).equals(before.job(id))) {
                contacts.hasten(id);
            }
        });
    }

    private void see(JobFleet seen) {
        fleet = seen;
        Map<WorkerId, JobWorker> byId = new HashMap<>();
        seen.pools().values().forEach(pool -> pool.forEach(worker -> byId.put(worker.id(), worker)));
        workers = byId;
    }

    private void reported(TaskReported reported, long nowMillis) {
        Optional<Job> known = saved().flatMap(document -> document.job(reported.job()))
                .filter(job -> job.lease().isPresent()
                        && job.lease().get().epoch() == reported.epoch()
                        && job.lease().get().worker().equals(reported.worker()));
        if (known.isEmpty()) {
            keepNewer(reported);
            return;
        }
        boolean ended = contacts.report(reported, known.get(), nowMillis);
        learn(reported, known.get(), nowMillis);
        if (ended) {
            pending.add(reported);
        }
    }

    /** Keeps saved progress that belongs to a lease which this executor has not read yet, and reads the document anew. */
    private void keepNewer(TaskReported reported) {
        long epoch = saved().flatMap(document -> document.job(reported.job()))
                .map(Job::epoch)
                .orElse(0L);
        if (reported.outcome() == TaskOutcome.CHECKPOINTED && reported.epoch() > epoch) {
            pending.add(reported);
            stale = true;
        }
    }

    private void learn(TaskReported reported, Job job, long nowMillis) {
        switch (reported.outcome()) {
            case RUNNING -> placer.estimates().used(job.spec(), reported.usage());
            case DONE -> {
                placer.blame().finished(reported.worker());
                contacts.runMillis(job, nowMillis)
                        .ifPresent(millis -> placer.estimates().ran(job.spec(), millis));
            }
            case FAILED -> placer.blame().failed(reported.worker(), reported.job(), nowMillis);
            case NOT_STARTED -> placer.blame().rejected(reported.worker(), nowMillis);
            default -> {}
        }
    }

    private void advance(long nowMillis, List<JobAction> actions) {
        if (stale && attempt == null) {
            if (!loading) {
                loading = true;
                actions.add(LoadShard.of(shard));
            }
            return;
        }
        if (attempt == null && fleet != null) {
            draft(nowMillis, actions);
        }
        if (active && !stale) {
            call(nowMillis, actions);
        }
    }

    private void draft(long nowMillis, List<JobAction> actions) {
        ShardDraft draft = new ShardDraft(saved, placer, fleet, nowMillis);
        pending.forEach(draft::apply);
        if (active) {
            draft.expire(contacts::askedSinceEnd);
            draft.extend(job -> contacts.inContact(job, nowMillis));
            draft.place(executor);
        }
        draft.notices().forEach(notice -> tell(notice, nowMillis, actions));
        JobDocument document = draft.document();
        if (document.equals(saved)) {
            actions.addAll(draft.answers());
            pending.clear();
            return;
        }
        draft.prune();
        attempt = new Attempt(draft.document(), List.copyOf(pending), draft.answers());
        pending.clear();
        actions.add(SaveShard.of(attempt.document, revision));
    }

    private void tell(JobAction notice, long nowMillis, List<JobAction> actions) {
        if (notice instanceof WarnDeadline warning && !warned.add(warning.job())) {
            return;
        }
        if (notice instanceof RequestPreemption request) {
            Long asked = preemptionAsked.put(request.job(), nowMillis);
            if (asked != null && nowMillis - asked < ASK_AGAIN_MILLIS) {
                preemptionAsked.put(request.job(), asked);
                return;
            }
        }
        actions.add(notice);
    }

    private void call(long nowMillis, List<JobAction> actions) {
        for (Job job : saved.jobs().values()) {
            if (job.lease().isPresent()) {
                Optional<JobWorker> seen =
                        Optional.ofNullable(workers.get(job.lease().get().worker()));
                contacts.due(job, seen, nowMillis).ifPresent(actions::add);
            }
        }
    }

    private static final class Attempt {
        private final JobDocument document;
        private final List<JobEvent> events;
        private final List<JobAction> answers;

        Attempt(JobDocument document, List<JobEvent> events, List<JobAction> answers) {
            this.document = document;
            this.events = events;
            this.answers = answers;
        }
    }
}
