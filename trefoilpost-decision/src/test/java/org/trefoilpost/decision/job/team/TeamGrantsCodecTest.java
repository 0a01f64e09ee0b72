package org.trefoilpost.decision.job.team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.ResourceAmount;

/** Guards against stored grants that are read wrongly, or that are taken for grants though they are none. */
class TeamGrantsCodecTest {
    private static final TeamGrants GRANTS = new TeamGrants(
            7,
            Map.of(
                    "p1", new PoolGrant(12, new ResourceAmount(1_000, 2_000, 3), ResourceAmount.NONE, false),
                    "p2", new PoolGrant(1L << 40, ResourceAmount.NONE, new ResourceAmount(5, 6, 7), true)));

    @Test
    void grantsAreReadAsWritten() {
        assertEquals(GRANTS, TeamGrantsCodec.decode(TeamGrantsCodec.encode(GRANTS), 7));
        assertEquals(
                0,
                TeamGrantsCodec.decode(TeamGrantsCodec.encode(TeamGrants.ABSENT), 3)
                        .pools()
                        .size());
    }

    @Test
    void otherBytesAreRefused() {
        byte[] bytes = TeamGrantsCodec.encode(GRANTS);
        for (int length = 0; length < bytes.length; length++) {
            byte[] cut = Arrays.copyOf(bytes, length);
            assertThrows(IllegalArgumentException.class, () -> TeamGrantsCodec.decode(cut, 7));
        }
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(IllegalArgumentException.class, () -> TeamGrantsCodec.decode(longer, 7));
        byte[] otherFormat = bytes.clone();
        otherFormat[0] = 2;
        assertThrows(IllegalArgumentException.class, () -> TeamGrantsCodec.decode(otherFormat, 7));
    }

    @Test
    void negativeAmountIsRefused() {
        TeamGrants negative = new TeamGrants(
                7, Map.of("p1", new PoolGrant(12, new ResourceAmount(-1, 0, 0), ResourceAmount.NONE, false)));
        byte[] bytes = TeamGrantsCodec.encode(negative);
        assertThrows(IllegalArgumentException.class, () -> TeamGrantsCodec.decode(bytes, 7));
    }
}
