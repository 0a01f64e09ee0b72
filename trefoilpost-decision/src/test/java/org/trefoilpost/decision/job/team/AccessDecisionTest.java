package org.trefoilpost.decision.job.team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.ResourceAmount;

class AccessDecisionTest {
    private static final TeamPolicy KEYS = new TeamPolicy(true, false);
    private static final Optional<String> KNOWN_KEY = Optional.of("key-of-a");
    private static final Optional<String> UNKNOWN_KEY = Optional.of("key-of-nobody");

    private final Teams teams = teams();

    /** Guards against serving callers without a key, or with one that no team has. */
    @Test
    void queueThatIsNotPublicNeedsAKnownKey() {
        assertEquals(granted(Optional.of("a")), decide(false, true, KNOWN_KEY));
        assertEquals(refused(AccessDecision.Result.UNKNOWN_KEY), decide(false, true, UNKNOWN_KEY));
        assertEquals(refused(AccessDecision.Result.MISSING_KEY), decide(false, true, Optional.empty()));
    }

    /** Guards against refusing callers of a public queue, and against losing the team of a known key there. */
    @Test
    void publicQueueServesAllCallersAndStillIdentifiesTheTeam() {
        assertEquals(granted(Optional.of("a")), decide(true, true, KNOWN_KEY));
        assertEquals(granted(Optional.empty()), decide(true, true, UNKNOWN_KEY));
        assertEquals(granted(Optional.empty()), decide(true, true, Optional.empty()));
    }

    /** Guards against accepting a key that a newer configuration has removed, and denying one that it has added. */
    @Test
    void nothingIsDecidedByAKeyWhileTheConfigurationIsUnconfirmed() {
        for (boolean publicQueue : new boolean[] {false, true}) {
            assertEquals(refused(AccessDecision.Result.UNCONFIRMED), decide(publicQueue, false, KNOWN_KEY));
            assertEquals(refused(AccessDecision.Result.UNCONFIRMED), decide(publicQueue, false, UNKNOWN_KEY));
            assertEquals(refused(AccessDecision.Result.UNCONFIRMED), decide(publicQueue, false, Optional.empty()));
        }
    }

    /** Guards against checks of keys in deployments without the contract. */
    @Test
    void withoutThePolicyEveryRequestIsServedAndNoTeamIsTakenFromTheKey() {
        AccessDecision expected = new AccessDecision(AccessDecision.Result.GRANTED, Caller.UNIDENTIFIED);
        for (boolean confirmed : new boolean[] {false, true}) {
            assertEquals(expected, AccessDecision.of(TeamPolicy.NONE, teams, false, confirmed, Optional.empty()));
            assertEquals(expected, AccessDecision.of(TeamPolicy.NONE, teams, false, confirmed, KNOWN_KEY));
        }
    }

    /** Guards against access to another team's job, and against locking everyone out of a job without a team. */
    @Test
    void jobOfATeamIsOpenToItsOwnCallersOnly() {
        Optional<String> teamA = Optional.of("a");
        assertTrue(Caller.of(teamA).mayAccessJobOf(teamA));
        assertFalse(Caller.of(Optional.of("b")).mayAccessJobOf(teamA));
        assertFalse(Caller.of(Optional.empty()).mayAccessJobOf(teamA));
        assertTrue(Caller.of(teamA).mayAccessJobOf(Optional.empty()));
        assertTrue(Caller.of(Optional.empty()).mayAccessJobOf(Optional.empty()));
        assertTrue(Caller.UNIDENTIFIED.mayAccessJobOf(teamA), "forwarded by an earlier version of the program");
    }

    private AccessDecision decide(boolean publicQueue, boolean confirmed, Optional<String> key) {
        return AccessDecision.of(KEYS, teams, publicQueue, confirmed, key);
    }

    private static AccessDecision granted(Optional<String> team) {
        return new AccessDecision(AccessDecision.Result.GRANTED, Caller.of(team));
    }

    private static AccessDecision refused(AccessDecision.Result result) {
        return new AccessDecision(result, Caller.UNIDENTIFIED);
    }

    private static Teams teams() {
        Teams.Builder builder = Teams.builder();
        builder.team(new TeamConfig("a", 1, ResourceAmount.NONE));
        builder.addKey("a", KNOWN_KEY.get());
        return builder.build();
    }
}
