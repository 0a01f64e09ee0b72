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
public final class PoolDays {
    private static final int JOB_NAME_LENGTH = 16;
    private static final int WORKERS = 6;
    private static final long DAY_MILLIS = 20_000;
    private static final long JOB_GAP_MILLIS = 120;
    private static final long SETTLE_MILLIS = 60_000;

    private final EmulatedPlatform platform;
    private final VirtualTime time;
    private final Random random;
    private final List<String> handedIn = new ArrayList<>();

    private PoolDays(long seed) {
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
    public static Result calm(long seed) {
        return new PoolDays(seed).play(day -> {});
    }

    /**
     * Plays a day on which callers cancel jobs.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result cancelling(long seed) {
        return new PoolDays(seed).play(day -> day.every(700, day::cancelOne));
    }

    /**
     * Plays a day on which owners are killed.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result ownersKilled(long seed) {
        return new PoolDays(seed).play(day -> {
            day.every(700, day::cancelOne);
            day.every(4_000, day::killOwner);
        });
    }

    /**
     * Plays a day on which pools are taken from owners that go on.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result ownersUnaware(long seed) {
        return new PoolDays(seed).play(day -> {
            day.every(700, day::cancelOne);
            day.every(3_000, day.platform::newOwner);
        });
    }

    /**
     * Plays a day on which workers crash, are cut off, fail tasks, or carry orders out late.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result workersLost(long seed) {
        return new PoolDays(seed).play(day -> {
            day.platform.lostPerThousand(20);
            day.every(5_000, day::crashOne);
            day.every(6_000, day::cutOne);
            day.every(7_000, day::failOne);
        });
    }

    /**
     * Plays a day on which the store is down at times and loses answers.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result storeTrouble(long seed) {
        return new PoolDays(seed).play(day -> {
            day.platform.lostPerThousand(100);
            day.every(6_000, day::storeOutage);
            day.every(7_000, day::killOwner);
            day.every(700, day::cancelOne);
        });
    }

    /**
     * Plays a day on which workers fail tasks and owners are killed.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result failingWhileOwnersChange(long seed) {
        return new PoolDays(seed).play(day -> {
            day.every(700, day::cancelOne);
            day.every(2_500, day::failOne);
            day.every(2_000, day.platform::newOwner);
        });
    }

    /**
     * Plays a day with all faults.
     *
     * @param seed  the seed
     * @return what was seen, not null
     */
    public static Result everything(long seed) {
        return new PoolDays(seed).play(day -> {
            day.platform.lostPerThousand(40);
            day.every(6_000, day::storeOutage);
            day.every(5_000, day::killOwner);
            day.every(6_500, day.platform::newOwner);
            day.every(4_500, day::crashOne);
            day.every(5_500, day::cutOne);
            day.every(700, day::cancelOne);
        });
    }

    private Result play(Consumer<PoolDays> faults) {
        faults.accept(this);
        long gaps = DAY_MILLIS / JOB_GAP_MILLIS;
        for (int i = 0; i < gaps; i++) {
            boolean lasting = i % 40 == 5;
            time.after(i * JOB_GAP_MILLIS, () -> handedIn.add(platform.submit(lasting)));
        }
        time.runFor(DAY_MILLIS);
        platform.lostPerThousand(0);
        platform.storeDown(false);
        if (platform.owner().stopped()) {
            platform.newOwner();
        }
        time.runFor(SETTLE_MILLIS);
        checkAllEnded();
        return new Result(
                explained(platform.checks().faults()), platform.checks().starts(), platform.decisions("stop-decided"));
    }

    private String explained(List<String> faults) {
        if (faults.isEmpty()) {
            return "";
        }
        Set<String> words = new TreeSet<>(List.of("pool-", "worker-"));
        for (String word : faults.get(0).split("[ .:]")) {
            if (word.length() == JOB_NAME_LENGTH) {
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
                platform.checks().fault("LOST " + job);
            } else if (cancelled && phase.get() != JobPhase.CANCELLED) {
                platform.checks().fault("LOST the cancellation of " + job + ": " + phase.get());
            } else if (!cancelled && !lasting && !phase.get().ended()) {
                platform.checks().fault("LOST " + job + " is still " + phase.get());
            }
        }
    }

    private void every(long millis, Runnable fault) {
        for (long at = millis / 2 + random.nextInt((int) millis); at < DAY_MILLIS; at += millis) {
            time.after(at, fault);
        }
    }

    private void cancelOne() {
        if (!handedIn.isEmpty()) {
            platform.cancel(handedIn.get(random.nextInt(handedIn.size())));
        }
    }

    private void killOwner() {
        platform.owner().kill();
        time.after(1_000 + random.nextInt(2_000), () -> {
            if (platform.owner().stopped()) {
                platform.newOwner();
            }
        });
    }

    private void crashOne() {
        List<EmulatedWorker> living = platform.livingWorkers();
        if (living.size() > 2) {
            platform.crash(living.get(random.nextInt(living.size())));
            time.after(1_500, platform::addWorker);
        }
    }

    private void cutOne() {
        List<EmulatedWorker> living = platform.livingWorkers();
        EmulatedWorker cut = living.get(random.nextInt(living.size()));
        cut.reachable(false);
        time.after(2_000 + random.nextInt(7_000), () -> cut.reachable(true));
    }

    private void failOne() {
        List<EmulatedWorker> living = platform.livingWorkers();
        EmulatedWorker failing = living.get(random.nextInt(living.size()));
        failing.failing(true);
        time.after(3_000, () -> failing.failing(false));
    }

    private void storeOutage() {
        platform.storeDown(true);
        time.after(2_000 + random.nextInt(2_500), () -> platform.storeDown(false));
    }

    /**
     * What was seen on a day.
     *
     * @param faults  what must not happen and did, a line each, not null
     * @param starts  the runs that workers began
     * @param stops  the runs that the owner decided to stop
     */
    public record Result(String faults, int starts, int stops) {}
}
