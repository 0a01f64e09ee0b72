package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.model.JobId;

/**
 * What one executor has learned of the tasks under leases, and which call each of them needs next.
 *
 * <p>Only the executor that granted a lease starts its task. Another one, or one that was paused for a lease's length, looks
 * first, and renews only what it saw run; a renewal would start the task anew on a worker that has forgotten it.
 */
final class TaskContacts {
    /** The lease that a call asks the worker for, in milliseconds. */
    static final long LEASE_MILLIS = 10_000;

    private static final long RENEW_MILLIS = 3_000;
    private static final long END_RETRY_MILLIS = 500;
    private static final long CONTACT_MILLIS = 15_000;
    private static final int MAX_UNANSWERED_ASKS = 3;
    private static final long MIN_LEASE_MILLIS = 1_000;

    private final String executor;
    private final Map<JobId, Contact> contacts = new HashMap<>();

    TaskContacts(String executor) {
        this.executor = executor;
    }

    /** Returns the call that is due for a job's task, empty if none is. */
    Optional<CallTask> due(Job job, Optional<JobWorker> seen, long nowMillis) {
        JobLease lease = job.lease().orElseThrow();
        Contact contact = contact(job.spec().id(), lease.epoch());
        if (contact.calling || nowMillis < contact.nextMillis) {
            return Optional.empty();
        }
        if (seen.isPresent() && seen.get().incarnation() != lease.incarnation()) {
            contact.frozen = true;
        }
        TaskCallKind kind = kind(job, lease, contact, nowMillis);
        contact.calling = true;
        contact.calledMillis = nowMillis;
        if (kind == TaskCallKind.START && !contact.sent) {
            contact.sent = true;
            contact.contactMillis = nowMillis;
        }
        long leaseMillis = Math.max(0, Math.min(LEASE_MILLIS, lease.untilMillis() - nowMillis));
        return Optional.of(CallTask.of(kind, job.spec(), lease, leaseMillis, job.checkpoint()));
    }

    /**
     * Takes in an answer.
     *
     * @return true if the answer changes the job's document: the task has ended for good
     */
    boolean report(TaskReported reported, Job job, long nowMillis) {
        Contact contact = contact(job.spec().id(), reported.epoch());
        contact.calling = false;
        if (contact.calledMillis >= job.lease().orElseThrow().untilMillis()) {
            contact.asksSinceEnd += reported.outcome() == TaskOutcome.UNREACHABLE ? 1 : MAX_UNANSWERED_ASKS;
        }
        boolean ending = job.phase() != JobPhase.LEASED || contact.recovering || contact.asksSinceEnd > 0;
        contact.nextMillis = nowMillis + (ending ? END_RETRY_MILLIS : RENEW_MILLIS);
        return switch (reported.outcome()) {
            case RUNNING -> {
                contact.startedMillis = contact.confirmed ? contact.startedMillis : nowMillis;
                contact.confirmed = true;
                contact.contactMillis = nowMillis;
                if (reported.call() == TaskCallKind.LOOK && !contact.frozen && timeLeft(job, nowMillis)) {
                    contact.nextMillis = nowMillis;
                }
                yield false;
            }
            case DONE, FAILED, LAPSED, CHECKPOINTED, STOPPED -> true;
            case NOT_STARTED -> rejected(contact, mine(job));
            case STALE, ABSENT -> missing(contact, reported, mine(job), nowMillis);
            case UNREACHABLE -> {
                contact.unanswered |= reported.call() == TaskCallKind.START;
                yield false;
            }
        };
    }

    /** Returns whether a job's task was seen to run a short while ago. */
    boolean inContact(Job job, long nowMillis) {
        Contact contact = contacts.get(job.spec().id());
        return contact != null
                && contact.epoch == job.epoch()
                && contact.confirmed
                && !contact.frozen
                && nowMillis - contact.contactMillis < CONTACT_MILLIS;
    }

    /** Returns how long a task has run that began at the start of its job, empty if that is not known. */
    Optional<Long> runMillis(Job job, long nowMillis) {
        Contact contact = contacts.get(job.spec().id());
        boolean known = contact != null && contact.confirmed && contact.epoch == job.epoch();
        return known && job.checkpoint().isEmpty() ? Optional.of(nowMillis - contact.startedMillis) : Optional.empty();
    }

    /** Returns whether a job's worker has answered since the job's grant ended, or several calls got no answer. */
    boolean askedSinceEnd(Job job) {
        JobLease lease = job.lease().orElseThrow();
        Contact contact = contacts.get(job.spec().id());
        return contact != null && contact.epoch == lease.epoch() && contact.asksSinceEnd >= MAX_UNANSWERED_ASKS;
    }

    /** Makes a call due at once, as after a change of the job's phase. */
    void hasten(JobId job) {
        Optional.ofNullable(contacts.get(job)).ifPresent(contact -> contact.nextMillis = 0);
    }

    void forget(JobId job) {
        contacts.remove(job);
    }

    private TaskCallKind kind(Job job, JobLease lease, Contact contact, long nowMillis) {
        if (job.phase() == JobPhase.STOPPING) {
            return TaskCallKind.STOP;
        }
        if (job.phase() == JobPhase.CHECKPOINTING || contact.recovering) {
            return TaskCallKind.CHECKPOINT;
        }
        boolean first = lease.executor().equals(executor) && !contact.sent;
        boolean recent = (contact.sent || contact.confirmed) && nowMillis - contact.contactMillis < LEASE_MILLIS;
        boolean timeLeft = timeLeft(job, nowMillis);
        return (first || recent) && timeLeft && !contact.frozen ? TaskCallKind.START : TaskCallKind.LOOK;
    }

    private static boolean timeLeft(Job job, long nowMillis) {
        return job.lease().orElseThrow().untilMillis() - nowMillis >= MIN_LEASE_MILLIS;
    }

    private boolean mine(Job job) {
        return job.lease().filter(lease -> lease.executor().equals(executor)).isPresent();
    }

    private static boolean rejected(Contact contact, boolean mine) {
        contact.frozen = true;
        return mine && !contact.confirmed && !contact.unanswered;
    }

    private static boolean missing(Contact contact, TaskReported reported, boolean mine, long nowMillis) {
        if (reported.call() == TaskCallKind.START) {
            contact.fenced |= reported.outcome() == TaskOutcome.STALE;
            contact.frozen = true;
            contact.recovering = true;
            contact.nextMillis = nowMillis;
            return false;
        }
        if (reported.call() == TaskCallKind.LOOK) {
            contact.frozen = true;
            contact.recovering |= contact.confirmed;
            return false;
        }
        boolean neverSent = mine && !contact.sent;
        contact.frozen = true;
        return contact.fenced || neverSent || contact.confirmed && !contact.unanswered;
    }

    private Contact contact(JobId job, long epoch) {
        Contact contact = contacts.get(job);
        if (contact == null || contact.epoch != epoch) {
            contact = new Contact(epoch);
            contacts.put(job, contact);
        }
        return contact;
    }

    private static final class Contact {
        private final long epoch;
        private boolean calling;
        private boolean sent;
        private boolean confirmed;
        private boolean unanswered;
        private boolean frozen;
        private boolean fenced;
        private boolean recovering;
        private long nextMillis;
        private long contactMillis;
        private long startedMillis;
        private long calledMillis;
        private int asksSinceEnd;

        Contact(long epoch) {
            this.epoch = epoch;
        }
    }
}
