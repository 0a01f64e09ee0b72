package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The work of ordinary tasks that a pool has taken and still has to do, and the room that there is for it.
 *
 * <p>It is looked through anew only every few milliseconds, as callers who are refused come often when there is much of
 * it.
 */
final class Backlog {
    /** Time in milliseconds after which what was looked through is too old. */
    private static final long VALID_MILLIS = 20;
    /** Share of a pool's processor time that placements reach while tasks wait. */
    private static final double USABLE_SHARE = 0.8;
    /** Time in milliseconds after which machines that are on their way run tasks, on average. */
    private static final long ARRIVAL_MILLIS = 1_500;
    /** The share of its work that a running task has still to do, on average. */
    private static final double RUNNING_SHARE = 0.5;

    private static final Comparator<Piece> BY_START = Comparator.comparingLong(Piece::latestStartMillis);

    private final PoolState state;
    private final WorkerHealth health;
    private final Objectives objectives;
    private final List<Piece> pieces = new ArrayList<>();
    private Room room = new Room(1, 0);
    private double work;
    private double waiting;
    private long lookedMillis = Long.MIN_VALUE / 2;

    Backlog(PoolState state, WorkerHealth health, Objectives objectives) {
        this.state = state;
        this.health = health;
        this.objectives = objectives;
    }

    /**
     * Returns how long all of the work takes, in milliseconds.
     */
    double waitMillis(Moment now) {
        look(now);
        return room.millisFor(work);
    }

    /**
     * Returns by how many milliseconds the pool would miss the latest start of a step of another job, or of work that
     * starts after it; not positive if it would miss none.
     */
    double shortageMillis(JobState job, Moment now) {
        look(now);
        List<Piece> added = pieces(job);
        double before = 0;
        double shortage = 0;
        int next = 0;
        for (Piece piece : pieces) {
            while (next < added.size() && added.get(next).latestStartMillis <= piece.latestStartMillis) {
                shortage = Math.max(shortage, missedBy(before, added.get(next), now));
                before += added.get(next).work;
                next++;
            }
            if (next > 0 && piece.latestStartMillis != Long.MAX_VALUE) {
                shortage = Math.max(shortage, missedBy(before, piece, now));
            }
            before += piece.work;
        }
        for (Piece piece : added.subList(next, added.size())) {
            shortage = Math.max(shortage, missedBy(before, piece, now));
            before += piece.work;
        }
        return shortage;
    }

    /**
     * Returns whether nothing waits and all tasks of a job's first steps find room now.
     */
    boolean startsAtOnce(JobState job, Moment now) {
        look(now);
        if (waiting > 0) {
            return false;
        }
        for (StepSpec step : job.spec.steps()) {
            if (step.after().isEmpty() && tasksThatFit(step, now) < step.count()) {
                return false;
            }
        }
        return true;
    }

    private long tasksThatFit(StepSpec step, Moment now) {
        long fit = 0;
        for (WorkerSlot slot : state.slots.values()) {
            if (slot.suits(step, now.steadyMillis())) {
                fit += step.reservedDemand().timesIn(slot.free());
            }
        }
        return fit;
    }

    private double missedBy(double before, Piece piece, Moment now) {
        return room.millisFor(before) - (piece.latestStartMillis - now.steadyMillis());
    }

    /**
     * Forgets what was looked through, as something large has changed.
     */
    void forget() {
        lookedMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Adds the work of a job that was just taken.
     */
    void add(JobState job) {
        if (job.spec.longRunning() || job.spec.schedule().timed()) {
            return;
        }
        for (Piece piece : pieces(job)) {
            insert(piece);
        }
    }

    private void insert(Piece piece) {
        int from = 0;
        int to = pieces.size();
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (pieces.get(middle).latestStartMillis <= piece.latestStartMillis) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        pieces.add(from, piece);
        work += piece.work;
        waiting += piece.work;
    }

    private List<Piece> pieces(JobState job) {
        long[] latest = objectives.latestStartsMillis(job);
        List<Piece> steps = new ArrayList<>();
        for (int i = 0; i < job.spec.steps().size(); i++) {
            StepSpec step = job.spec.steps().get(i);
            steps.add(new Piece(latest[i], step.count() * taskWork(job, step)));
        }
        steps.sort(BY_START);
        return steps;
    }

    private double taskWork(JobState job, StepSpec step) {
        return (double) health.expectedMillis(job, step) * step.demand().cpuMillis();
    }

    private void look(Moment now) {
        if (now.steadyMillis() - lookedMillis < VALID_MILLIS) {
            return;
        }
        lookedMillis = now.steadyMillis();
        pieces.clear();
        waiting = 0;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.open()) {
                addOpen(occurrence, now);
            }
        }
        pieces.sort(BY_START);
        work = pieces.stream().mapToDouble(Piece::work).sum();
        room = room();
    }

    private void addOpen(OccurrenceState occurrence, Moment now) {
        long[] latest = objectives.latestStartsMillis(occurrence, now);
        for (StepState step : occurrence.steps) {
            if (!step.ended() && !step.spec.longRunning() && !step.spec.fills()) {
                addOpen(step, latest[step.number], now);
            }
        }
    }

    /**
     * Adds what is left of a step: what runs holds its room whether it is in time or not, what waits and is late comes
     * after all that can be in time.
     */
    private void addOpen(StepState step, long latestStartMillis, Moment now) {
        int running = 0;
        int open = 0;
        for (TaskState task : step.tasks) {
            running += !task.done && !task.runs.isEmpty() ? 1 : 0;
            open += !task.done && task.runs.isEmpty() ? 1 : 0;
        }
        double taskWork = taskWork(step.occurrence.job, step.spec);
        if (running > 0) {
            pieces.add(new Piece(Long.MIN_VALUE, running * taskWork * RUNNING_SHARE));
        }
        if (open > 0) {
            boolean late = latestStartMillis < now.steadyMillis();
            pieces.add(new Piece(late ? Long.MAX_VALUE : latestStartMillis, open * taskWork));
            waiting += step.readyMillis == StepState.NOT_READY ? 0 : open * taskWork;
        }
    }

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
     * Work in thousandths of a core times milliseconds, and when it has to start for its job to be in time.
     */
    private record Piece(long latestStartMillis, double work) {}

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
