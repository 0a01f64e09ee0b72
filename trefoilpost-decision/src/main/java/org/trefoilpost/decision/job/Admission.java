package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * Decides whether a job that is handed in can still meet its objective.
 */
final class Admission {
    private static final long MIN_RETRY_MILLIS = 500;
    private static final long MAX_RETRY_MILLIS = 8_000;
    /** Share of a pool's processor time that placements reach while tasks wait. */
    private static final double USABLE_SHARE = 0.9;

    /** Time in milliseconds after which machines that are on their way run tasks, on average. */
    private static final long ARRIVAL_MILLIS = 1_500;

    /** Wait in milliseconds up to which a job is taken that comes too late for its objective. */
    private static final long LATE_WAIT_MILLIS = 1_000;
    /** The share of its work that a running task has still to do, on average. */
    private static final double RUNNING_SHARE = 0.5;

    private final PoolState state;
    private final WorkerHealth health;
    private final Objectives objectives;

    Admission(PoolState state, WorkerHealth health, Objectives objectives) {
        this.state = state;
        this.health = health;
        this.objectives = objectives;
    }

    /**
     * Returns whether a task of each step fits a worker that the pool has or had.
     */
    boolean fitsSomewhere(JobSpec spec) {
        if (state.slots.isEmpty()) {
            return true;
        }
        for (StepSpec step : spec.steps()) {
            boolean fits = state.slots.values().stream()
                    .anyMatch(slot ->
                            step.reservedDemand().fitsIn(slot.report.capacity()) && step.allows(slot.report.labels()));
            if (!fits) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns when to come back with a job that would wait too long, empty if the job can be taken.
     */
    OptionalLong retryAfterMillis(JobState job, Moment now) {
        if (job.spec.longRunning() || job.spec.schedule().timed()) {
            return OptionalLong.empty();
        }
        Room room = room();
        List<Piece> pieces = backlog(now);
        long shortMillis = objectives.latestStartMillis(job, 0) < now.steadyMillis()
                ? (long) room.millisFor(work(pieces)) - LATE_WAIT_MILLIS
                : (long) shortage(withSteps(job, pieces), room, now);
        if (shortMillis <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, shortMillis)));
    }

    private List<Piece> withSteps(JobState job, List<Piece> pieces) {
        for (int i = 0; i < job.spec.steps().size(); i++) {
            StepSpec step = job.spec.steps().get(i);
            double work = (double) step.count() * step.demand().cpuMillis() * health.expectedMillis(job, step);
            pieces.add(new Piece(objectives.latestStartMillis(job, i), work, true));
        }
        return pieces;
    }

    private static double work(List<Piece> pieces) {
        return pieces.stream().mapToDouble(Piece::work).sum();
    }

    /**
     * Returns by how many milliseconds the pool misses the latest start of a new piece of work, or of one after it.
     */
    private static double shortage(List<Piece> pieces, Room room, Moment now) {
        pieces.sort(Comparator.comparingLong(Piece::latestStartMillis));
        double before = 0;
        double shortage = 0;
        boolean affected = false;
        for (Piece piece : pieces) {
            before += piece.work;
            affected |= piece.isNew;
            if (affected && piece.latestStartMillis != Long.MAX_VALUE) {
                long leftMillis = piece.latestStartMillis - now.steadyMillis();
                shortage = Math.max(shortage, room.millisFor(before) - leftMillis);
            }
        }
        return shortage;
    }

    /**
     * Returns the processor share of the pool that ordinary tasks can use.
     */
    private Room room() {
        long present = 0;
        long largest = 0;
        for (WorkerSlot slot : state.slots.values()) {
            largest = Math.max(largest, slot.report.capacity().cpuMillis());
            if (slot.listed && !slot.gone && !slot.evacuating && !slot.report.draining()) {
                present += slot.report.capacity().cpuMillis();
            }
            for (Run run : slot.runs.values()) {
                present -= run.task.step.spec.longRunning() ? run.reserved().cpuMillis() : 0;
            }
        }
        double arriving = (double) state.arrivingMachines * largest;
        return new Room(Math.max(1, present * USABLE_SHARE), arriving * USABLE_SHARE);
    }

    /**
     * Returns the work of ordinary tasks that is still to do.
     */
    private List<Piece> backlog(Moment now) {
        List<Piece> pieces = new ArrayList<>();
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.open()) {
                for (StepState step : occurrence.steps) {
                    if (!step.ended() && !step.spec.longRunning() && !step.spec.fills()) {
                        addOpen(job, step, pieces, now);
                    }
                }
            }
        }
        return pieces;
    }

    /**
     * Adds what is left of a step: what runs holds its room whether it is in time or not, what waits and is late comes
     * after all that can be in time.
     */
    private void addOpen(JobState job, StepState step, List<Piece> pieces, Moment now) {
        double taskWork = (double) health.expectedMillis(job, step.spec)
                * step.spec.demand().cpuMillis();
        int running = 0;
        int waiting = 0;
        for (TaskState task : step.tasks) {
            running += !task.done && !task.runs.isEmpty() ? 1 : 0;
            waiting += !task.done && task.runs.isEmpty() ? 1 : 0;
        }
        pieces.add(new Piece(Long.MIN_VALUE, running * taskWork * RUNNING_SHARE, false));
        long latest = objectives.latestStartMillis(step, now);
        boolean late = latest < now.steadyMillis();
        pieces.add(new Piece(late ? Long.MAX_VALUE : latest, waiting * taskWork, false));
    }

    /**
     * Work in thousandths of a core times milliseconds, and when it has to start for its job to be in time.
     */
    private record Piece(long latestStartMillis, double work, boolean isNew) {}

    /**
     * Processor shares in thousandths of a core: what there is, and what is on its way.
     */
    private record Room(double present, double arriving) {
        double millisFor(double work) {
            double alone = work / present;
            return alone <= ARRIVAL_MILLIS ? alone : (work + arriving * ARRIVAL_MILLIS) / (present + arriving);
        }
    }
}
