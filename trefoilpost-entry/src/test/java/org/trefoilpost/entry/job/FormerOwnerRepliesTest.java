package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FormerOwnerRepliesTest {
    private static final JobReply KNOWN = JobReply.of(JobReplyStatus.DONE, "known");
    private static final JobReply OTHER_TEAM = JobReply.of(JobReplyStatus.FORBIDDEN, "other-team");
    private static final JobReply UNKNOWN = JobReply.of(JobReplyStatus.NO_JOB, "unknown-job");
    private static final JobReply NO_OWNER = JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000);
    private static final JobReply SILENT = JobReply.of(JobReplyStatus.UNCERTAIN, "owner-silent");

    @Test
    void jobIsUnknownOnlyIfAllOwnersSaySo() {
        assertEquals(Optional.empty(), combine());
        assertEquals(Optional.empty(), combine(UNKNOWN, UNKNOWN));
        assertEquals(Optional.of(NO_OWNER), combine(UNKNOWN, NO_OWNER));
        assertEquals(Optional.of(NO_OWNER), combine(NO_OWNER, UNKNOWN));
    }

    /** Guards against a refusal that says "not carried out" of a request that one of several owners may have. */
    @Test
    void silentOwnerMakesTheReplyUncertain() {
        assertEquals(Optional.of(SILENT), combine(SILENT, NO_OWNER, UNKNOWN));
        assertEquals(Optional.of(SILENT), combine(UNKNOWN, NO_OWNER, SILENT));
    }

    @Test
    void ownerThatKnowsTheJobIsNotKeptWaitingByOthers() {
        assertEquals(Optional.of(KNOWN), combine(SILENT, KNOWN));
        FormerOwnerReplies replies = new FormerOwnerReplies(2);
        assertFalse(replies.result().isDone());
        replies.add(OTHER_TEAM);
        assertEquals(Optional.of(OTHER_TEAM), replies.result().getNow(null));
        replies.add(SILENT);
        assertEquals(Optional.of(OTHER_TEAM), replies.result().getNow(null));
    }

    private static Optional<JobReply> combine(JobReply... replies) {
        FormerOwnerReplies combined = new FormerOwnerReplies(replies.length);
        List.of(replies).forEach(combined::add);
        return combined.result().join();
    }
}
