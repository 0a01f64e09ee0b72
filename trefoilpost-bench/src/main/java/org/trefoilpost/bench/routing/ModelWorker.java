package org.trefoilpost.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.trefoilpost.model.worker.Worker;

/**
 * A worker with slots that rejects what it has no slot for.
 */
final class ModelWorker {
    /** The mean service time. */
    static final double SERVICE_MILLIS = 100;

    private static final double SIGMA = 0.5;
    private static final int SLOW_FACTOR = 10;
    private static final long FAIL_MILLIS = 2;

    private final Worker worker;
    private final VirtualTime time;
    private final RandomGenerator random;
    private final List<Running> running = new ArrayList<>();
    private boolean slow;
    private boolean failing;
    private boolean gone;

    ModelWorker(Worker worker, VirtualTime time, RandomGenerator random) {
        this.worker = worker;
        this.time = time;
        this.random = random;
    }

    Worker worker() {
        return worker;
    }

    void slow(boolean nowSlow) {
        this.slow = nowSlow;
    }

    void failing(boolean nowFailing) {
        this.failing = nowFailing;
    }

    /** Breaks the connections of all that runs and refuses new ones. */
    void goAway() {
        gone = true;
        List<Running> broken = List.copyOf(running);
        running.clear();
        broken.forEach(item -> item.end.accept(Reply.BROKEN));
    }

    int idleSlots() {
        return gone || failing ? 0 : worker.resources().slots() - running.size();
    }

    /** Starts a request, or rejects it; the reply comes when it ends. */
    void receive(Consumer<Reply> reply) {
        if (gone || running.size() >= worker.resources().slots()) {
            reply.accept(Reply.REJECTED);
            return;
        }
        Running item = new Running(reply);
        running.add(item);
        time.after(serviceMillis(), () -> {
            if (running.remove(item)) {
                reply.accept(failing ? Reply.BROKEN : Reply.ANSWER);
            }
        });
    }

    private long serviceMillis() {
        if (failing) {
            return FAIL_MILLIS;
        }
        double mean = SERVICE_MILLIS * (slow ? SLOW_FACTOR : 1);
        double factor = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
        return Math.max(1, Math.round(mean * factor));
    }

    /**
     * What a worker sends back.
     */
    enum Reply {
        /** The whole answer. */
        ANSWER,
        /** The request was not started. */
        REJECTED,
        /** The connection broke after the request had started. */
        BROKEN
    }

    /**
     * A request that runs.
     */
    private static final class Running {
        private final Consumer<Reply> end;

        private Running(Consumer<Reply> end) {
            this.end = end;
        }
    }
}
