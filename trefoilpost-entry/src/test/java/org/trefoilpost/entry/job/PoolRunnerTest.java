package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.WorkerAddress;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Plays the owner of a pool whose commits are answered late.
 */
class PoolRunnerTest {
    private static final String POOL = "pool";
    private static final String JOB = "0000000000000001";
    private static final long WAIT_MILLIS = 5_000;
    private static final WorkerPort.Answer FENCED = new WorkerPort.Answer(OrderResult.FENCED, Optional.empty());

    private final LateStore store = new LateStore();
    private final Worker worker = new Worker();
    private final TestService service = new TestService(store, worker, null, new OneWorkerFormats(POOL));
    private int ownershipsLost;
    private PoolRunner runner;

    @BeforeEach
    void open() {
        long token = store.claim(POOL, 0);
        store.put("servers/w", "registered");
        QueueConfig queue = new QueueConfig("q", "host", "/q/", POOL, 0, 3, 1, 1_000, Optional.empty(), false);
        WorkerRegistry registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
        runner = new PoolRunner(
                POOL, token, service.context(), registry, ConfigurationGuard.NONE, () -> ownershipsLost++);
        service.run(registry::start);
        service.run(() -> runner.start(Map.of("q", queue), Teams.NONE));
        tickUntil(() -> runner.isOpen());
    }

    /** Guards against a pool that an entry owns and never opens, because its load has failed unexpectedly. */
    @Test
    void poolWhoseLoadFailsIsGivenUp() {
        WorkerRegistry registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
        service.run(registry::start);
        PoolRunner next =
                new PoolRunner(POOL, 2, service.context(), registry, ConfigurationGuard.NONE, () -> ownershipsLost++);
        store.addUnreadableItem(PoolStore.jobKey(POOL, JOB));
        service.run(() -> next.start(Map.of(), Teams.NONE));
        assertFalse(next.isOpen());
        assertEquals(1, ownershipsLost);
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void cancelIsConfirmedOnlyWhenItIsStored() {
        CompletableFuture<JobReply> submitted = submit();
        tickUntil(submitted::isDone);
        store.holdAnswers(true);
        tickUntil(() -> store.heldAnswers() == 1);
        CompletableFuture<JobReply> cancelled = cancel();
        assertFalse(cancelled.isDone());
        store.releaseAnswers();
        tickUntil(() -> store.heldAnswers() == 1);
        assertFalse(cancelled.isDone(), "the first commit does not contain the cancel");
        store.releaseAnswers();
        tickUntil(cancelled::isDone);
        assertEquals(JobReplyStatus.DONE, cancelled.join().status());
    }

    @Test
    void submissionIsConfirmedByTheFirstCommitThoughTheJobIsCancelledMeanwhile() {
        store.holdAnswers(true);
        CompletableFuture<JobReply> submitted = submit();
        tickUntil(() -> store.heldAnswers() == 1);
        CompletableFuture<JobReply> cancelled = cancel();
        store.releaseAnswers();
        tickUntil(submitted::isDone);
        assertEquals(JobReplyStatus.DONE, submitted.join().status());
        assertFalse(cancelled.isDone());
        tickUntil(() -> store.heldAnswers() == 1);
        store.releaseAnswers();
        tickUntil(cancelled::isDone);
    }

    /** Guards against an order that fails before it is sent, and ends the round of decisions before the commit. */
    @Test
    void jobIsStoredThoughEachOrderFailsBeforeItIsSent() {
        tickUntil(() -> worker.answered > 0);
        worker.failing = true;
        CompletableFuture<JobReply> submitted = submit();
        tickUntil(submitted::isDone);
        assertEquals(JobReplyStatus.DONE, submitted.join().status());
        int failed = worker.failed;
        tickUntil(() -> worker.failed > failed + 1);
        worker.failing = false;
        int answered = worker.answered;
        tickUntil(() -> worker.answered > answered);
    }

    /** Guards against a store call that fails before it is sent, and keeps the pool from ever committing again. */
    @Test
    void commitThatFailsBeforeItIsSentIsSentAgain() {
        store.failing = true;
        CompletableFuture<JobReply> submitted = submit();
        tickUntil(() -> store.failed > 1);
        assertFalse(submitted.isDone());
        store.failing = false;
        tickUntil(submitted::isDone);
        assertEquals(JobReplyStatus.DONE, submitted.join().status());
    }

    /** Guards against a gauge that goes on showing a wait in a pool that another entry owns. */
    @Test
    void waitOfALongRunningTaskIsShownUntilThePoolIsLost() {
        String gauge = "trefoilpost_jobs_long_running_wait_millis{pool=\"pool\",reason=\"run-unresolved\"}";
        tickUntil(() -> worker.answered > 0);
        worker.failing = true;
        CompletableFuture<JobReply> submitted = submit(StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .longRunning(true)
                .build());
        tickUntil(submitted::isDone);
        tickUntil(() -> service.context().metrics().text().contains(gauge));
        service.run(() -> runner.claimLost("store"));
        service.run(() -> runner.tick());
        assertFalse(service.context().metrics().text().contains("trefoilpost_jobs_long_running_wait_millis"));
    }

    /** Guards against a pool that is loaded anew as a worker refuses an order from before a renewal of the claim. */
    @Test
    void orderFromBeforeARenewalThatAWorkerRefusesShowsNoOtherOwner() {
        worker.holding = true;
        submit();
        tickUntil(() -> !worker.held.isEmpty());
        worker.holding = false;
        renewClaim();
        int answered = worker.answered;
        service.run(() -> worker.held.forEach(answer -> answer.complete(FENCED)));
        tickUntil(() -> worker.answered > answered);
        assertEquals(0, ownershipsLost);
        worker.fencing = true;
        cancel();
        tickUntil(() -> ownershipsLost == 1);
    }

    /** Guards against a claim that is taken for lapsed as a read from before its renewal is answered after it. */
    @Test
    void readOfTheOwnerFromBeforeARenewalIsIgnored() {
        store.remove(LiveEntries.ownerKey(POOL));
        store.holdReads(true);
        tickUntil(() -> store.heldAnswers() == 1);
        store.holdReads(false);
        renewClaim();
        service.run(store::releaseAnswers);
        assertFalse(runner.isLapsed());
        assertEquals(0, ownershipsLost);
    }

    private void renewClaim() {
        service.run(() -> {
            runner.claimLapsed();
            runner.claimRenewed(store.claim(POOL, 0), service.context().now());
        });
    }

    private CompletableFuture<JobReply> submit() {
        return submit(StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(60_000)
                .build());
    }

    private CompletableFuture<JobReply> submit(StepSpec step) {
        JobSpec job = new JobSpec(JOB, "q", "text", List.of(step), JobSpec.Schedule.ONCE);
        return onService(() -> runner.requests().submit(job, new QueueRoute("q", 0)));
    }

    private CompletableFuture<JobReply> cancel() {
        return onService(() -> runner.requests().cancel(JOB));
    }

    private CompletableFuture<JobReply> onService(Supplier<CompletableFuture<JobReply>> call) {
        List<CompletableFuture<JobReply>> reply = new ArrayList<>();
        service.run(() -> reply.add(call.get()));
        return reply.get(0);
    }

    private void tickUntil(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            service.run(() -> runner.tick());
        }
        assertTrue(condition.getAsBoolean(), "the condition holds in time");
    }

    /** A store that can fail commits, hold back answers, and have an item that cannot be read. */
    private static final class LateStore extends HeldAnswersStore {
        private volatile boolean failing;
        private volatile int failed;
        private Optional<String> unreadableKey = Optional.empty();

        /** Adds an item that no reader expects, as it has no value at all. */
        void addUnreadableItem(String key) {
            unreadableKey = Optional.of(key);
        }

        @Override
        public CompletableFuture<Page> range(String prefix, String after) {
            return unreadableKey.filter(key -> key.startsWith(prefix)).isPresent()
                    ? CompletableFuture.completedFuture(
                            new Page(List.of(new Item(unreadableKey.get(), null, 1, 0)), false, revision()))
                    : super.range(prefix, after);
        }

        @Override
        public CompletableFuture<Long> commit(Change change) {
            if (failing) {
                failed++;
                throw new IllegalStateException("cannot be sent");
            }
            return super.commit(change);
        }
    }

    /** A worker that starts and stops what it is told to, and can hold back its answers or refuse all orders as fenced. */
    private static final class Worker implements WorkerPort {
        private final List<WorkerRunStatus.Running> running = new ArrayList<>();
        private final List<CompletableFuture<Answer>> held = new CopyOnWriteArrayList<>();
        private volatile boolean holding;
        private volatile boolean fencing;
        private volatile boolean failing;
        private volatile int failed;
        private volatile int answered;

        @Override
        public CompletableFuture<Answer> send(WorkerOrder order, long fencingToken) {
            if (failing) {
                failed++;
                throw new IllegalArgumentException("cannot be sent");
            }
            if (holding) {
                CompletableFuture<Answer> answer = new CompletableFuture<>();
                held.add(answer);
                return answer;
            }
            answered++;
            if (fencing) {
                return CompletableFuture.completedFuture(FENCED);
            }
            if (order instanceof WorkerOrder.Start start) {
                running.add(new WorkerRunStatus.Running(start.task().text(), start.run(), "", 100, 0));
            } else if (order instanceof WorkerOrder.Stop stop) {
                running.removeIf(run -> run.task().equals(stop.task()));
            }
            Optional<WorkerRunStatus> status = order instanceof WorkerOrder.Hold
                    ? Optional.of(new WorkerRunStatus(System.nanoTime() / 1_000_000, running, List.of()))
                    : Optional.empty();
            return CompletableFuture.completedFuture(new Answer(OrderResult.OK, status));
        }

        @Override
        public void closeConnections(WorkerAddress address) {
            // No connections are kept.
        }
    }
}
