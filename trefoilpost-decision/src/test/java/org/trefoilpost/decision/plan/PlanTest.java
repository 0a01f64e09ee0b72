package org.trefoilpost.decision.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.Fleets;
import org.trefoilpost.decision.planner.GreedyStrategy;
import org.trefoilpost.decision.planner.Planner;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;

class PlanTest {
    private static final Plan PLAN = plan(Optional.of(PoolName.of("a")), 5);

    private static Plan plan(Optional<PoolName> pool, long now) {
        var view = Fleets.view(Fleets.racks("a a b", "a a b", "a b b"), "r0-w0");
        return Planner.of(new GreedyStrategy()).plan(WaveIntent.of(pool), Fleets.snapshot(view, 1, 2, 0), now);
    }

    @Test
    void encodedPlanDecodesToTheSameDigest() {
        Plan read = PlanCodec.decode(PlanCodec.encode(PLAN));
        assertEquals(PLAN.digest(), read.digest());
        assertEquals(PLAN.batches(), read.batches());
        assertEquals(PLAN.refusals(), read.refusals());
        assertEquals(PLAN.measures(), read.measures());
        assertNotEquals(PLAN.digest(), plan(Optional.of(PoolName.of("a")), 6).digest());
    }

    @Test
    void decodesAndEncodesEachKindOfIntent() {
        for (String body : List.of(
                "{\"kind\":\"drain\",\"worker\":\"w1\"}",
                "{\"kind\":\"drain\",\"rack\":\"r1\"}",
                "{\"kind\":\"drain\",\"dataCentre\":\"d1\"}",
                "{\"kind\":\"grow\",\"pool\":\"a\",\"by\":2}",
                "{\"kind\":\"shrink\",\"pool\":\"a\",\"by\":1}",
                "{\"kind\":\"move\",\"worker\":\"w1\",\"pool\":\"a\"}",
                "{\"kind\":\"wave\",\"pool\":\"a\"}",
                "{\"kind\":\"wave\"}",
                "{\"kind\":\"release\",\"worker\":\"w1\"}",
                "{\"kind\":\"cancel\",\"plan\":\"" + PLAN.digest() + "\"}")) {
            Intent intent = IntentCodec.parse(body.getBytes(StandardCharsets.UTF_8));
            assertEquals(body, IntentCodec.encode(intent).toString());
        }
    }

    @Test
    void reportsTheFaultOfAnInvalidIntent() {
        Map<String, IntentFault> faults = Map.of(
                "drain", IntentFault.NOT_JSON,
                "[]", IntentFault.NOT_JSON,
                "{\"kind\":\"burn\"}", IntentFault.UNKNOWN_KIND,
                "{\"kind\":\"drain\"}", IntentFault.MISSING_FIELD,
                "{\"kind\":\"drain\",\"rack\":\"r1\",\"worker\":\"w1\"}", IntentFault.UNEXPECTED_FIELD,
                "{\"kind\":\"wave\",\"rack\":\"r1\"}", IntentFault.UNEXPECTED_FIELD,
                "{\"kind\":\"grow\",\"pool\":\"a\",\"by\":0}", IntentFault.INVALID_VALUE,
                "{\"kind\":\"grow\",\"pool\":\"a\",\"by\":1.5}", IntentFault.INVALID_VALUE,
                "{\"kind\":\"move\",\"worker\":\"W!\",\"pool\":\"a\"}", IntentFault.INVALID_VALUE);
        faults.forEach((body, fault) -> {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            assertEquals(
                    fault,
                    assertThrows(IntentException.class, () -> IntentCodec.parse(bytes))
                            .fault(),
                    body);
        });
    }

    @Test
    void secondConfirmationReportsTheFirstOperator() {
        PlanIndex index = PlanIndex.empty();
        PlanIndex won = PlanConfirmation.decide(PLAN, index, PLAN.versions(), "amina", 10)
                .index()
                .orElseThrow();
        ConfirmationDecision same = PlanConfirmation.decide(PLAN, won, PLAN.versions(), "karim", 11);
        assertEquals(ConfirmationOutcome.ALREADY_CONFIRMED, same.outcome());
        assertEquals("amina", same.earlierPlans().get(0).operator());
        Plan fleet = plan(Optional.empty(), 7);
        ConfirmationDecision overlapping = PlanConfirmation.decide(fleet, won, fleet.versions(), "karim", 11);
        assertEquals(ConfirmationOutcome.VOID, overlapping.outcome());
        assertEquals("amina", overlapping.earlierPlans().get(0).operator());
        Plan other = plan(Optional.of(PoolName.of("b")), 7);
        assertEquals(
                ConfirmationOutcome.CONFIRMED,
                PlanConfirmation.decide(other, won, other.versions(), "karim", 11)
                        .outcome());
        assertEquals(won, PlanIndexCodec.decode(PlanIndexCodec.encode(won)));
        assertTrue(won.withPlanEnded(PLAN.digest())
                .plan(PLAN.digest())
                .orElseThrow()
                .ended());
    }

    @Test
    void changedVersionsVoidAPlan() {
        PlanVersions planned = PLAN.versions();
        PlanVersions present =
                PlanVersions.of(planned.configuration() + 1, 9, Map.of(RackName.of("r0"), 99L), planned.ledgers());
        ConfirmationDecision decision = PlanConfirmation.decide(PLAN, PlanIndex.empty(), present, "amina", 10);
        assertEquals(ConfirmationOutcome.VOID, decision.outcome());
        assertEquals(
                "configuration changed from version 0 to 1",
                decision.changes().get(0).toString());
        assertEquals(
                "inventory r0 changed from version 6 to 99",
                decision.changes().get(1).toString());
    }

    @Test
    void planWithoutStepsIsNotConfirmed() {
        Plan empty = plan(Optional.of(PoolName.of("nobody")), 1);
        assertEquals(PlanRefusalReason.UNKNOWN, empty.refusals().get(0).reason());
        assertEquals(
                ConfirmationOutcome.NOTHING_TO_DO,
                PlanConfirmation.decide(empty, PlanIndex.empty(), empty.versions(), "amina", 1)
                        .outcome());
    }
}
