package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Guards against a team that takes more of a full pool than its share while others wait, and against shares that leave
 * capacity idle or starve a team's large steps.
 */
class TeamOrderTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    /** Time after which the mean use of a team is close to its present use. */
    private static final long SETTLE_MILLIS = 6_000;

    private static final ResourceAmount TASK = new ResourceAmount(1_000, 1_000, 0);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 1, 3, 1.6, 10_000, Optional.empty(), false);
    private static final QueueConfig URGENT_QUEUE =
            new QueueConfig("u", "h", "/u/", "pool", 0, 3, 1.6, 10_000, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final PoolState state =
            new PoolState("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(sent));
    private final Placer placer = new Placer(
            state, new OrderSender(state), new StartDeadlines(new RunStatistics(state)), new PlacementAdvice(state));
    private PoolWorker worker;
    private int lastJob;

    @Test
    void stepsOfATeamOverItsShareComeAfterThoseOfOthers() {
        fillWith("a", 8);
        job("a", 1, QUEUE, 1_000);
        JobState other = job("b", 1, QUEUE, 0);
        free(1);
        place(NOW.plus(SETTLE_MILLIS));
        assertEquals(List.of(other.spec.id()), startedJobs());
    }

    @Test
    void latestStartDecidesBetweenTeamsUnderTheirShares() {
        fillWith("a", 4, "b", 4);
        JobState first = job("b", 1, QUEUE, 1_000);
        JobState second = job("a", 1, QUEUE, 0);
        free(2);
        place(NOW.plus(SETTLE_MILLIS));
        assertEquals(List.of(first.spec.id(), second.spec.id()), startedJobs());
    }

    @Test
    void jobThatHasJustBegunDoesNotPutItsTeamOverItsShare() {
        fillWith("a", 8);
        JobState first = job("a", 1, QUEUE, 1_000);
        job("b", 1, QUEUE, 0);
        free(1);
        place(NOW.plus(200));
        assertEquals(List.of(first.spec.id()), startedJobs());
    }

    @Test
    void priorityGoesBeforeShares() {
        fillWith("a", 8);
        JobState urgent = job("a", 1, URGENT_QUEUE, 0);
        job("b", 1, QUEUE, 1_000);
        free(1);
        place(NOW.plus(SETTLE_MILLIS));
        assertEquals(List.of(urgent.spec.id()), startedJobs());
    }

    @Test
    void teamOverItsShareGetsTheCapacityThatOthersLeave() {
        fillWith("a", 8);
        job("a", 6, QUEUE, 1_000);
        job("b", 2, QUEUE, 0);
        free(4);
        place(NOW.plus(SETTLE_MILLIS));
        assertEquals(4, sent.size(), "no capacity stays idle");
    }

    @Test
    void stepLargerThanTheShareGetsItsTurn() {
        fillWith("a", 8);
        job("a", 4, QUEUE, 1_000);
        JobState large = job("b", 8, QUEUE, 0);
        free(4);
        place(NOW.plus(SETTLE_MILLIS));
        assertEquals(4, startedJobs().stream().filter(large.spec.id()::equals).count());
    }

    @Test
    void jobsWithoutATeamAreNotPutOff() {
        fillWith("a", 8);
        job("a", 1, QUEUE, 1_000);
        JobState teamless = job("", 1, QUEUE, 0);
        job("b", 1, QUEUE, -100);
        free(1);
        place(NOW.plus(SETTLE_MILLIS));
        assertEquals(List.of(teamless.spec.id()), startedJobs());
    }

    @Test
    void orderIsUnchangedWithoutTeamsInTheConfiguration() {
        fillWith("a", 8);
        state.teams = Teams.NONE;
        JobState first = job("a", 1, QUEUE, 1_000);
        job("b", 1, QUEUE, 0);
        free(1);
        place(NOW.plus(SETTLE_MILLIS));
        assertEquals(List.of(first.spec.id()), startedJobs());
    }

    /**
     * Fills the worker with tasks of teams of equal weight, given by name and number of tasks.
     */
    private void fillWith(Object... teamsAndTasks) {
        state.teams = Teams.builder()
                .team(new TeamConfig("a", 1, ResourceAmount.NONE))
                .team(new TeamConfig("b", 1, ResourceAmount.NONE))
                .build();
        worker = new PoolWorker(new RegisteredWorker(
                "w1",
                "",
                "pool",
                WorkerAddress.of("10.0.0.1", 80),
                "dc",
                List.of("a", "r1"),
                new ResourceAmount(8_000, 8_000, 0),
                false));
        worker.fenced = true;
        state.workers.put(worker.id, worker);
        for (int i = 0; i < teamsAndTasks.length; i += 2) {
            job((String) teamsAndTasks[i], (int) teamsAndTasks[i + 1], QUEUE, 0);
        }
        place(NOW);
        assertEquals(8, sent.size());
        sent.clear();
    }

    private void free(int tasks) {
        List<Run> runs = new ArrayList<>(worker.runs.values());
        runs.sort(Comparator.comparing(run -> run.task.id.text()));
        runs.subList(0, tasks).forEach(run -> {
            run.task.done = true;
            run.task.step.doneTasks++;
            worker.remove(run);
        });
    }

    private void place(Moment now) {
        worker.startsInFlight = 0;
        worker.recordClock(now.steadyMillis(), now.steadyMillis());
        state.placementDue = true;
        placer.placeIfDue(now);
    }

    private List<String> startedJobs() {
        return sent.stream()
                .map(order -> ((WorkerOrder.Start) order).task().job())
                .toList();
    }

    private JobState job(String team, int tasks, QueueConfig queue, long ageMillis) {
        StepSpec step =
                StepSpec.builder().tasks(tasks, TASK).estimateMillis(1_000).build();
        JobSpec spec =
                new JobSpec(String.format("%016x", ++lastJob), queue.name(), "", List.of(step), JobSpec.Schedule.ONCE);
        JobState job = new JobState(spec.withTeam(team.isEmpty() ? Optional.empty() : Optional.of(team)), queue, NOW);
        job.submittedMillis -= ageMillis;
        job.openDueOccurrences(NOW);
        job.stored = true;
        state.add(job);
        return job;
    }
}
