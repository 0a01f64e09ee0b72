import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Runs one case: Case NAME ROOT RECORD SEED. The environment variable TROUBLE=0 leaves the disruption out. */
final class Case {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private final Lab lab;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Case(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        int result = NOT_RUN;
        try {
            Lab lab = new Lab(Path.of(arguments[1]), Path.of(arguments[2]), Long.parseLong(arguments[3]));
            if (System.getenv("KEEP_LOGS") != null) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                    try {
                        lab.copyLogs(Path.of(System.getenv("KEEP_LOGS")));
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                }));
            }
            Case run = new Case(lab);
            switch (arguments[0]) {
                case "advice" -> run.advice();
                case "long" -> run.longTask();
                case "scheduled" -> run.scheduled();
                case "scale-out" -> run.scaleOut();
                case "lasting-gang" -> run.lastingGang();
                default -> throw new IllegalArgumentException("no case " + arguments[0]);
            }
            result = lab.checks.broken.isEmpty() ? HELD : BROKEN;
            lab.record("result", result == HELD ? "the rule held" : "the rule was broken: " + lab.checks.broken.get(0));
            System.out.println((TROUBLE ? "TROUBLE " : "no trouble ") + (result == HELD ? "held" : "broken " + lab.checks.broken.get(0)));
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private boolean isOver(Lab.Job job) {
        if (!Set.of("completed", "failed", "cancelled").contains(job.shown)) {
            job.shown = lab.state(job.id);
        }
        return Set.of("completed", "failed", "cancelled").contains(job.shown);
    }

    /** Many jobs come at once to a queue whose steps need advice. */
    private void advice() throws Exception {
        long seconds = Long.getLong("base.s", 8);
        lab.advice = new Advice(lab, Long.getLong("decide", 120), 10, 3_000);
        lab.platform(8);
        lab.entries(3);
        List<Lab.Job> jobs = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        double perSecond = Double.parseDouble(System.getProperty("rate", "4"));
        send(jobs, clients, perSecond, seconds);
        if (TROUBLE) {
            lab.record("burst", "2.6 times the traffic for 4 s");
            send(jobs, clients, perSecond * 2.6, 4);
            lab.record("burst", "is over");
        } else {
            send(jobs, clients, perSecond, 4);
        }
        send(jobs, clients, perSecond, seconds);
        lab.record("traffic", "has ended");
        for (Thread client : clients) {
            client.join();
        }
        long finish = Lab.now() + 14_000;
        while (Lab.now() < finish && jobs.stream().anyMatch(job -> job.acceptedAt > 0 && !isOver(job))) {
            Lab.sleep(1_000);
        }
        judgeIdle(jobs);
        lab.record("advice", "answered " + lab.advice.answered + ", refused " + lab.advice.refused);
    }

    private void send(List<Lab.Job> jobs, List<Thread> clients, double perSecond, long seconds) {
        long end = Lab.now() + seconds * 1_000;
        while (Lab.now() < end) {
            Lab.Step step = new Lab.Step();
            step.count = 2;
            step.cpu = 1_000;
            step.memory = 500;
            step.workMs = 400;
            Lab.Job job = lab.job(List.of(step));
            jobs.add(job);
            Thread client = new Thread(() -> lab.submit(job));
            client.start();
            clients.add(client);
            Lab.sleep((long) (1_000 / perSecond));
        }
    }

    /** LOST: for 3 s a job has nothing running while a task's turn has come and most workers are idle. */
    private void judgeIdle(List<Lab.Job> jobs) {
        List<Lab.Job> open = new ArrayList<>(jobs.stream().filter(job -> job.acceptedAt > 0 && !isOver(job)).toList());
        lab.record("judged", open.size() + " of " + jobs.size() + " jobs are open 14 s after the end of the traffic");
        long end = Lab.now() + 3_000;
        int rounds = 0;
        while (Lab.now() < end && !open.isEmpty()) {
            synchronized (lab) {
                open.removeIf(job -> lab.workers.stream()
                        .flatMap(worker -> worker.running.values().stream())
                        .anyMatch(run -> run.job.equals(job.id)));
                long used = lab.workers.stream().flatMap(worker -> worker.running.values().stream()).mapToLong(run -> run.spec.cpu).sum();
                if (used * 2 >= lab.workers.stream().mapToLong(worker -> worker.cpu).sum()) {
                    return;
                }
            }
            rounds++;
            Lab.sleep(20);
        }
        open.removeIf(this::isOver);
        for (Lab.Job job : open) {
            lab.checks.rule("LOST", "job " + job.id + " is shown as " + job.shown + ", nothing of it has run for 3 s, "
                    + (Lab.now() - job.acceptedAt) + " ms after its acceptance (looked at " + rounds + " times)");
        }
    }

    /** A job takes many times as long as usual. */
    private void longTask() throws Exception {
        lab.platform(8);
        lab.entries(3);
        Lab.Step step = new Lab.Step();
        step.requires = "b";
        step.cpu = 1_000;
        step.memory = 500;
        step.estimateMs = 46_000;
        // 6.5 times as long.
        step.workMs = TROUBLE ? 299_000 : 46_000;
        Lab.Job job = lab.job(List.of(step));
        lab.submit(job);
        if (job.acceptedAt == 0) {
            throw new IllegalStateException("the job was not accepted");
        }
        // It is one of at least 20 jobs in 3 s.
        List<Lab.Job> jobs = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        send(jobs, clients, 8, 3);
        lab.record("share", "1 of " + (jobs.size() + 1) + " jobs is the long one");
        for (Thread client : clients) {
            client.join();
        }
        lab.record("traffic", "has ended");
        Lab.sleep(14_000);
        String task = job.id + ".0.0.0";
        long idleSince = Lab.now();
        long longest = 0;
        long end = Lab.now() + 40_000;
        while (Lab.now() < end && !lab.checks.isDone(task)) {
            long used;
            long free;
            synchronized (lab) {
                used = lab.workers.stream().flatMap(worker -> worker.running.values().stream()).mapToLong(run -> run.spec.cpu).sum();
                free = lab.workers.stream()
                        .filter(worker -> worker.alive && worker.labels.contains("b"))
                        .mapToLong(worker -> worker.cpu - worker.running.values().stream().mapToLong(run -> run.spec.cpu).sum())
                        .sum();
                boolean mayRun = used * 2 < lab.workers.stream().mapToLong(worker -> worker.cpu).sum() && free >= 2 * step.cpu;
                if (lab.checks.isRunning(task) || !mayRun) {
                    idleSince = Lab.now();
                }
            }
            longest = Math.max(longest, Lab.now() - idleSince);
            Lab.sleep(20);
        }
        job.shown = lab.state(job.id);
        lab.record("job", job.id + " is shown as " + job.shown + " after " + lab.checks.started.getOrDefault(task, 0)
                + " runs; longest time without a run " + longest + " ms");
        if (longest > 3_000) {
            lab.checks.rule("LOST", "job " + job.id + " had nothing running for " + longest + " ms beside idle workers that suit it, "
                    + lab.checks.started.get(task) + " runs were begun");
        }
    }

    /** The owner is killed while many jobs wait for their time. */
    private void scheduled() throws Exception {
        lab.platform(4);
        lab.entries(3);
        int count = Integer.getInteger("jobs", 11_000);
        List<Lab.Job> jobs = new ArrayList<>();
        java.util.concurrent.ExecutorService clients = java.util.concurrent.Executors.newFixedThreadPool(24);
        for (int i = 0; i < count; i++) {
            Lab.Step step = new Lab.Step();
            step.count = 2;
            step.cpu = 100;
            step.memory = 10;
            step.workMs = 500;
            Lab.Job job = lab.job(List.of(step));
            job.spec = (job.spec + " ").repeat(200).substring(0, 3_900);
            job.repeat = 5;
            job.firstRunMs = Lab.wall() + 8 * 3_600_000L;
            job.intervalMs = 24 * 3_600_000L;
            jobs.add(job);
            clients.execute(() -> lab.submit(job));
        }
        clients.shutdown();
        if (!clients.awaitTermination(60, java.util.concurrent.TimeUnit.SECONDS)) {
            throw new IllegalStateException("the jobs were not handed in within 60 s");
        }
        List<Lab.Job> accepted = jobs.stream().filter(job -> job.acceptedAt > 0).toList();
        lab.record("traffic", "has ended, " + accepted.size() + " of " + count + " jobs are accepted");
        if (accepted.size() < count / 2) {
            throw new IllegalStateException("most jobs were not accepted");
        }
        if (TROUBLE) {
            Lab.Entry owner = lab.owner();
            lab.signal(owner, "KILL");
            Lab.sleep(3_500);
            lab.start(owner);
        }
        Lab.sleep(14_000);
        int answered = 0;
        int asked = 0;
        long end = Lab.now() + 20_000;
        while (asked < 8 && Lab.now() < end) {
            Lab.Job job = accepted.get(lab.random.nextInt(accepted.size()));
            asked++;
            String state = lab.state(job.id);
            lab.record("asked", job.id + " -> '" + state + "'");
            answered += Set.of("queued", "running", "completed").contains(state) ? 1 : 0;
        }
        if (answered < asked) {
            lab.checks.rule("LOST", (asked - answered) + " of " + asked + " accepted jobs that were asked for, each at four entries in turn, "
                    + "got no answer or are not known");
        }
    }

    /** Workers are added to a service whose steps need advice. */
    private void scaleOut() throws Exception {
        lab.advice = new Advice(lab, 500, 100, 10_000);
        lab.platform(22);
        lab.entries(3);
        List<Lab.Job> jobs = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        send(jobs, clients, 0.25, 12);
        if (TROUBLE) {
            for (int i = 0; i < 6; i++) {
                lab.addWorker();
                Lab.sleep(400);
            }
        }
        send(jobs, clients, 0.25, 24);
        lab.record("traffic", "has ended");
        for (Thread client : clients) {
            client.join();
        }
        Lab.sleep(14_000);
        judgeIdle(jobs);
        lab.record("advice", "answered " + lab.advice.answered + ", refused " + lab.advice.refused);
    }

    /** A worker crashes beneath a gang that lasts, while the service is full. */
    private void lastingGang() throws Exception {
        lab.platform(8);
        lab.entries(3);
        Lab.Step step = new Lab.Step();
        step.count = 4;
        step.cpu = 6_000;
        step.memory = 2_000;
        step.workMs = 700;
        step.gang = !Boolean.getBoolean("single");
        step.lasts = true;
        step.maxPerServer = 1;
        Lab.Job job = lab.job(List.of(step));
        lab.submit(job);
        Lab.sleep(4_000);
        Thread traffic = new Thread(() -> {
            long end = Lab.now() + 45_000;
            while (Lab.now() < end) {
                Lab.Step small = new Lab.Step();
                small.count = 8;
                small.cpu = 2_000;
                small.memory = 500;
                small.workMs = 1_200;
                Lab.Job other = lab.job(List.of(small));
                Http.THREADS.execute(() -> lab.submit(other));
                Lab.sleep(110);
            }
        });
        traffic.start();
        Lab.sleep(8_000);
        if (TROUBLE) {
            Worker chosen = lab.workers.get(0);
            synchronized (lab) {
                for (Worker worker : lab.workers) {
                    chosen = worker.running.containsKey(job.id + ".0.0.0") ? worker : chosen;
                }
            }
            lab.crash(chosen, 4_500, false);
        }
        // The worker is back after 4.5 s; the 4 s after that are calm, and 6 s have passed since the last run.
        Lab.sleep(8_500);
        long longest = 0;
        long since = Lab.now();
        while (traffic.isAlive()) {
            int present = 0;
            for (int i = 0; i < 4; i++) {
                present += lab.checks.isRunning(job.id + ".0.0." + i) ? 1 : 0;
            }
            if (present > 0) {
                since = Lab.now();
            }
            longest = Math.max(longest, Lab.now() - since);
            Lab.sleep(20);
        }
        lab.record("job", job.id + ": longest time without a run " + longest + " ms");
        if (longest > 3_000) {
            lab.checks.rule("LOST", "nothing of lasting job " + job.id + " has run for " + longest + " ms");
        }
    }
}
