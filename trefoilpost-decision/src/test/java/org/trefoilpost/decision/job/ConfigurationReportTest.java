package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ConfigurationReportTest {
    private static final Moment SENT = new Moment(10_000, 90_000);

    @Test
    void onlyANewerConfigurationIsTaken() {
        ConfigurationReport report = new ConfigurationReport(5, OptionalLong.of(0));
        assertTrue(report.isNewerThan(4));
        assertFalse(report.isNewerThan(5));
        assertFalse(report.isNewerThan(6));
    }

    @Test
    void confirmationIsAgedByTheTimeSinceTheRequestWasSent() {
        ConfigurationReport report = new ConfigurationReport(5, OptionalLong.of(300));
        assertEquals(Optional.of(new Moment(9_700, 89_700)), report.confirms(SENT, 5));
        assertEquals(Optional.of(new Moment(9_700, 89_700)), report.confirms(SENT, 6));
    }

    /** Guards against an old configuration that is confirmed by the confirmation of a newer one, which cannot be read. */
    @Test
    void reportConfirmsNothingForAnOlderConfiguration() {
        ConfigurationReport report = new ConfigurationReport(5, OptionalLong.of(300));
        assertEquals(Optional.empty(), report.confirms(SENT, 4));
        assertEquals(Optional.empty(), new ConfigurationReport(0, OptionalLong.of(0)).confirms(SENT, 0));
        assertEquals(Optional.empty(), new ConfigurationReport(5, OptionalLong.empty()).confirms(SENT, 5));
    }
}
