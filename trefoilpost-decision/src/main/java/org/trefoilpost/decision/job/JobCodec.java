package org.trefoilpost.decision.job;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.worker.Resources;

/**
 * Writes and reads jobs as JSON, and checks the declared sizes.
 */
public final class JobCodec {
    private static final int MAX_CORES = 4_096;
    private static final int MAX_MEMORY_MB = 64 * 1_024 * 1_024;
    private static final int MAX_ACCELERATORS = 1_024;
    private static final int MAX_SLOTS = 4_096;
    private static final long MAX_RUN_MILLIS = 30L * 24 * 3_600 * 1_000;

    private JobCodec() {}

    /**
     * Writes a shard.
     *
     * @param document  the shard's jobs, not null
     * @return the document, not null
     */
    public static byte[] encode(JobDocument document) {
        ObjectNode tree = JsonFields.newDocument(JobDocument.FORMAT);
        ArrayNode jobs = tree.putArray("jobs");
        document.jobs().values().forEach(job -> jobs.add(tree(job)));
        return JsonFields.write(tree);
    }

    /**
     * Reads a shard.
     *
     * @param bytes  the document, not null
     * @return the shard's jobs, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static JobDocument decode(byte[] bytes) {
        JsonFields fields = JsonFields.parse("jobs", bytes, JobDocument.FORMAT);
        Map<JobId, Job> jobs = new TreeMap<>();
        for (JsonFields entry : fields.children("jobs")) {
            Job job = job(entry);
            jobs.put(job.spec().id(), job);
        }
        return JobDocument.of(jobs);
    }

    /**
     * Writes a job with its state as a JSON tree.
     *
     * @param job  the job, not null
     * @return the tree, not null
     */
    public static ObjectNode tree(Job job) {
        ObjectNode tree = JsonFields.newObject();
        tree.set("spec", tree(job.spec()));
        tree.put("phase", job.phase().code()).put("epoch", job.epoch()).put("since", job.sinceMillis());
        job.lease()
                .ifPresent(lease -> tree.putObject("lease")
                        .put("worker", lease.worker().text())
                        .put("incarnation", lease.incarnation())
                        .put("epoch", lease.epoch())
                        .put("executor", lease.executor())
                        .put("until", lease.untilMillis()));
        job.checkpoint().ifPresent(text -> tree.put("checkpoint", text));
        if (!job.failedWorkers().isEmpty()) {
            ArrayNode failed = tree.putArray("failedWorkers");
            job.failedWorkers().stream().sorted().forEach(worker -> failed.add(worker.text()));
        }
        if (!job.cause().isEmpty()) {
            tree.put("cause", job.cause());
        }
        return tree;
    }

    /**
     * Writes a submission as a JSON tree.
     *
     * @param spec  the submission, not null
     * @return the tree, not null
     */
    public static ObjectNode tree(JobSpec spec) {
        ObjectNode tree = JsonFields.newObject()
                .put("id", spec.id().text())
                .put("pool", spec.pool().text())
                .put("team", spec.team().text())
                .put("class", spec.requestClass().code())
                .put("kind", spec.kind())
                .put("cores", spec.resources().cores())
                .put("memoryMb", spec.resources().memoryMb())
                .put("accelerators", spec.resources().accelerators())
                .put("slots", spec.resources().slots())
                .put("runMillis", spec.runMillis())
                .put("checkpointable", spec.isCheckpointable());
        spec.deadlineMillis()
                .ifPresent(millis ->
                        tree.put("deadline", Instant.ofEpochMilli(millis).toString()));
        return tree;
    }

    /**
     * Reads a submission and checks its sizes.
     *
     * @param fields  the JSON fields, not null
     * @return the submission, not null
     * @throws DocumentException if a field is missing or has a value that cannot be meant; the message names the field
     */
    public static JobSpec spec(JsonFields fields) {
        Resources resources = Resources.of(
                bounded(fields, "cores", MAX_CORES),
                bounded(fields, "memoryMb", MAX_MEMORY_MB),
                bounded(fields, "accelerators", MAX_ACCELERATORS),
                bounded(fields, "slots", MAX_SLOTS));
        if (resources.cores() == 0 && resources.accelerators() == 0) {
            throw fields.damaged("cores", "must be at least 1 for a job without accelerators");
        }
        long runMillis = fields.number("runMillis");
        if (runMillis < 1 || runMillis > MAX_RUN_MILLIS) {
            throw fields.damaged("runMillis", "must be from 1 to " + MAX_RUN_MILLIS);
        }
        return JobSpec.builder(fields.value("id", JobId::of))
                .pool(fields.value("pool", PoolName::of))
                .team(fields.value("team", TeamName::of))
                .requestClass(RequestClass.ofCode(fields.text("class"))
                        .orElseThrow(() -> fields.damaged("class", "must be urgent, normal or bulk")))
                .kind(fields.text("kind"))
                .resources(resources)
                .runMillis(runMillis)
                .deadlineMillis(deadline(fields))
                .checkpointable(flag(fields, "checkpointable"))
                .build();
    }

    private static Optional<Long> deadline(JsonFields fields) {
        if (!fields.has("deadline")) {
            return Optional.empty();
        }
        try {
            return Optional.of(Instant.parse(fields.text("deadline")).toEpochMilli());
        } catch (DateTimeException | ArithmeticException e) {
            throw fields.damaged("deadline", "must be a time such as 2026-01-31T05:00:00Z");
        }
    }

    private static boolean flag(JsonFields fields, String name) {
        if (!fields.has(name)) {
            return false;
        }
        if (!fields.required(name).isBoolean()) {
            throw fields.damaged(name, "must be true or false");
        }
        return fields.required(name).booleanValue();
    }

    private static int bounded(JsonFields fields, String name, int most) {
        long amount = fields.has(name) ? fields.number(name) : 0;
        if (amount < 0 || amount > most) {
            throw fields.damaged(name, "must be from 0 to " + most);
        }
        return (int) amount;
    }

    private static Job job(JsonFields fields) {
        Set<WorkerId> failed = new HashSet<>();
        if (fields.has("failedWorkers")) {
            fields.required("failedWorkers").forEach(worker -> failed.add(WorkerId.of(worker.asText())));
        }
        return Job.of(
                spec(fields.child("spec")),
                phase(fields),
                fields.number("epoch"),
                fields.has("lease") ? Optional.of(lease(fields.child("lease"))) : Optional.empty(),
                fields.optionalValue("checkpoint", text -> text),
                failed,
                fields.optionalValue("cause", text -> text).orElse(""),
                fields.number("since"));
    }

    private static JobPhase phase(JsonFields fields) {
        return fields.value("phase", code -> JobPhase.valueOf(code.toUpperCase(Locale.ROOT)));
    }

    private static JobLease lease(JsonFields fields) {
        return JobLease.of(
                fields.value("worker", WorkerId::of),
                fields.number("incarnation"),
                fields.number("epoch"),
                fields.text("executor"),
                fields.number("until"));
    }
}
