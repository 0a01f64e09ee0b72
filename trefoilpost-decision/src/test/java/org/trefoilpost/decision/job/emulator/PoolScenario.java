package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.JobPhase;

/**
 * Days of a pool in virtual time.
 */
public final class PoolScenario {
    private static final int JOB_ID_LENGTH = 16;
    private static final int WORKERS = 6;
    private static final long FAULTS_MILLIS = 20_000;
    private static final long JOB_INTERVAL_MILLIS = 120;
    private static final long SETTLE_MILLIS = 60_000;

    private final EmulatedPlatform platform;
    private final VirtualTime time;
    private final Random random;
    private final List<String> submittedJobs = new ArrayList<>();

    private PoolScenario(long seed) {
        this.platform = new EmulatedPlatform(seed, WORKERS);
        this.time = platform.time();
        this.random = platform.random();
    }

    /**
     * Plays a day without faults.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result withoutFaults(long seed) {
        return new PoolScenario(seed).run(day -> {});
    }

    /**
     * Plays a day on which callers cancel jobs.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result jobsCancelled(long seed) {
        return new PoolScenario(seed).run(day -> day.injectEvery(700, day::cancelRandomJob));
    }

    /**
     * Plays a day on which owners are killed.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result ownersKilled(long seed) {
        return new PoolScenario(seed).run(day -> {
            day.injectEvery(700, day::cancelRandomJob);
            day.injectEvery(4_000, day::killOwner);
        });
    }

    /**
     * Plays a day on which pools are taken from owners that go on.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result ownersReplaced(long seed) {
        return new PoolScenario(seed).run(day -> {
            day.injectEvery(700, day::cancelRandomJob);
            day.injectEvery(3_000, day.platform::startOwner);
        });
    }

    /**
     * Plays a day on which workers crash, are cut off, fail tasks, or carry orders out late.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result workerFaults(long seed) {
        return new PoolScenario(seed).run(day -> {
            day.platform.lostPerThousand(20);
            day.injectEvery(5_000, day::crashRandomWorker);
            day.injectEvery(6_000, day::disconnectRandomWorker);
            day.injectEvery(7_000, day::failTasksOfRandomWorker);
        });
    }

    /**
     * Plays a day on which the store is down at times and loses answers.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result storeFaults(long seed) {
        return new PoolScenario(seed).run(day -> {
            day.platform.lostPerThousand(100);
            day.injectEvery(6_000, day::storeOutage);
            day.injectEvery(7_000, day::killOwner);
            day.injectEvery(700, day::cancelRandomJob);
        });
    }

    /**
     * Plays a day on which workers fail tasks and owners are killed.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result tasksFailedAndOwnersReplaced(long seed) {
        return new PoolScenario(seed).run(day -> {
            day.injectEvery(700, day::cancelRandomJob);
            day.injectEvery(2_500, day::failTasksOfRandomWorker);
            day.injectEvery(2_000, day.platform::startOwner);
        });
    }

    /**
     * Plays a day with all faults.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result allFaults(long seed) {
        return new PoolScenario(seed).run(day -> {
            day.platform.lostPerThousand(40);
            day.injectEvery(6_000, day::storeOutage);
            day.injectEvery(5_000, day::killOwner);
            day.injectEvery(6_500, day.platform::startOwner);
            day.injectEvery(4_500, day::crashRandomWorker);
            day.injectEvery(5_500, day::disconnectRandomWorker);
            day.injectEvery(700, day::cancelRandomJob);
        });
    }

    private Result run(Consumer<PoolScenario> faults) {
        faults.accept(this);
        long gaps = FAULTS_MILLIS / JOB_INTERVAL_MILLIS;
        for (int i = 0; i < gaps; i++) {
            boolean lasting = i % 40 == 5;
            time.schedule(i * JOB_INTERVAL_MILLIS, () -> submittedJobs.add(platform.submitRandomJob(lasting)));
        }
        time.runFor(FAULTS_MILLIS);
        platform.lostPerThousand(0);
        platform.storeDown(false);
        if (platform.owner().isStopped()) {
            platform.startOwner();
        }
        time.runFor(SETTLE_MILLIS);
        checkAllEnded();
        return new Result(
                withTrace(platform.checks().violations()),
                platform.checks().starts(),
                platform.decisionCount("stop-decided"));
    }

    private String withTrace(List<String> faults) {
        if (faults.isEmpty()) {
            return "";
        }
        Set<String> words = new TreeSet<>(List.of("pool-", "worker-"));
        for (String word : faults.get(0).split("[ .:]")) {
            if (word.length() == JOB_ID_LENGTH) {
                words.add(word);
            }
        }
        return String.join("\n", faults) + "\n" + platform.trace(words);
    }

    private void checkAllEnded() {
        for (String job : platform.checks().acceptedJobs()) {
            boolean lasting = platform.jobs().get(job).longRunning();
            Optional<JobPhase> phase = platform.owner().scheduler().phase(job);
            boolean cancelled = platform.checks().isCancelled(job);
            if (phase.isEmpty()) {
                platform.checks().addViolation("LOST " + job);
            } else if (cancelled && phase.get() != JobPhase.CANCELLED) {
                platform.checks().addViolation("LOST the cancellation of " + job + ": " + phase.get());
            } else if (!cancelled && !lasting && !phase.get().ended()) {
                platform.checks().addViolation("LOST " + job + " is still " + phase.get());
            }
        }
    }

    private void injectEvery(long millis, Runnable fault) {
        for (long at = millis / 2 + random.nextInt((int) millis); at < FAULTS_MILLIS; at += millis) {
            time.schedule(at, fault);
        }
    }

    private void cancelRandomJob() {
        if (!submittedJobs.isEmpty()) {
            platform.cancel(submittedJobs.get(random.nextInt(submittedJobs.size())));
        }
    }

    private void killOwner() {
        platform.owner().kill();
        time.schedule(1_000 + random.nextInt(2_000), () -> {
            if (platform.owner().isStopped()) {
                platform.startOwner();
            }
        });
    }

    private void crashRandomWorker() {
        List<EmulatedWorker> living = platform.livingWorkers();
        if (living.size() > 2) {
            platform.crash(living.get(random.nextInt(living.size())));
            time.schedule(1_500, platform::addWorker);
        }
    }

    private void disconnectRandomWorker() {
        List<EmulatedWorker> living = platform.livingWorkers();
        EmulatedWorker cut = living.get(random.nextInt(living.size()));
        cut.reachable(false);
        time.schedule(2_000 + random.nextInt(7_000), () -> cut.reachable(true));
    }

    private void failTasksOfRandomWorker() {
        List<EmulatedWorker> living = platform.livingWorkers();
        EmulatedWorker failing = living.get(random.nextInt(living.size()));
        failing.failing(true);
        time.schedule(3_000, () -> failing.failing(false));
    }

    private void storeOutage() {
        platform.storeDown(true);
        time.schedule(2_000 + random.nextInt(2_500), () -> platform.storeDown(false));
    }

    /**
     * What was seen on a day.
     *
     * @param faults  what must not happen and did, a line each, not null
     * @param starts  the runs that workers began
     * @param stops  the runs that the owner decided to stop
     */
    public record Result(String violations, int starts, int stops) {}
}
