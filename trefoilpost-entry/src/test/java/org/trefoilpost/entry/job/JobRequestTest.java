package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.team.Caller;

class JobRequestTest {
    private static final String JOB = "0123456789abcdef";
    private static final JobSpec SPEC = new JobSpec(
            JOB,
            "q",
            "text",
            List.of(StepSpec.builder()
                    .tasks(2, new ResourceAmount(1_000, 100, 0))
                    .build()),
            JobSpec.Schedule.ONCE);

    /** The bytes that the program sent before requests had callers. */
    private static final String EARLIER_SUBMIT =
            "01c42bb030313233343536373839616263646566a171a4746578740000009102cd03e8" + "64000090a0a00000a00000";

    private static final String EARLIER_CANCEL = "02b030313233343536373839616263646566";
    private static final String EARLIER_PHASE = "03b030313233343536373839616263646566";

    /** Guards against other messages between the entries of a deployment without keys. */
    @Test
    void requestsOfUnidentifiedCallersHaveTheBytesOfEarlierVersions() {
        Map<String, JobRequest> requests = Map.of(
                EARLIER_SUBMIT, new JobRequest.Submit(SPEC, Caller.UNIDENTIFIED),
                EARLIER_CANCEL, new JobRequest.Cancel(JOB, Caller.UNIDENTIFIED),
                EARLIER_PHASE, new JobRequest.Phase(JOB, Caller.UNIDENTIFIED));
        requests.forEach((bytes, request) -> {
            assertEquals(bytes, HexFormat.of().formatHex(request.encode()));
            JobRequest read = JobRequest.decode(HexFormat.of().parseHex(bytes)).orElseThrow();
            assertEquals(request.getClass(), read.getClass());
            assertEquals(bytes, HexFormat.of().formatHex(read.encode()));
        });
    }

    /** Guards against losing the caller's team on the way to the owner, or moving what earlier versions read. */
    @Test
    void callerFollowsTheElementsThatEarlierVersionsRead() {
        for (Optional<String> team : List.of(Optional.of("team-1"), Optional.<String>empty())) {
            Caller caller = Caller.of(team);
            assertFollows(EARLIER_CANCEL, new JobRequest.Cancel(JOB, caller));
            assertFollows(EARLIER_PHASE, new JobRequest.Phase(JOB, caller));
            byte[] submit = new JobRequest.Submit(SPEC.withTeam(team), caller).encode();
            JobRequest.Submit read =
                    (JobRequest.Submit) JobRequest.decode(submit).orElseThrow();
            assertEquals(JOB, read.job());
            assertEquals(team, read.spec().team());
            assertEquals(caller, read.caller());
        }
    }

    /** Guards against losing the route, or the difference between callers, on the way to the owner. */
    @Test
    void routeFollowsTheElementsThatEarlierVersionsRead() {
        QueueRoute route = new QueueRoute("q", 7);
        for (Caller caller : List.of(Caller.UNIDENTIFIED, Caller.of(Optional.empty()), Caller.of(Optional.of("t")))) {
            assertFollows(EARLIER_CANCEL, new JobRequest.Cancel(JOB, caller).withRoute(route));
            assertFollows(EARLIER_PHASE, new JobRequest.Phase(JOB, caller).withRoute(route));
            JobRequest.Submit submit = new JobRequest.Submit(SPEC, caller).withRoute(route);
            JobRequest.Submit read =
                    (JobRequest.Submit) JobRequest.decode(submit.encode()).orElseThrow();
            assertEquals(Optional.of(route), read.route());
            assertEquals(caller, read.caller());
        }
    }

    private static void assertFollows(String earlier, JobRequest request) {
        byte[] bytes = request.encode();
        assertTrue(HexFormat.of().formatHex(bytes).startsWith(earlier));
        assertEquals(Optional.of(request), JobRequest.decode(bytes));
    }
}
