package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.WorkerAddress;

/**
 * The stored form of the workers of a pool that may have runs of which the store does not know: a line for each, with its identifier,
 * address, machine and start.
 */
final class StoredWorkers {
    private static final String LINE_SEPARATOR = "\n";
    private static final String FIELD_SEPARATOR = "\t";
    private static final int FIELDS = 4;

    private StoredWorkers() {}

    /**
     * Encodes workers, so that equal sets have equal forms.
     */
    static String encode(List<RegisteredWorker> workers) {
        TreeSet<String> lines = new TreeSet<>();
        workers.forEach(worker -> lines.add(String.join(
                FIELD_SEPARATOR,
                worker.id(),
                worker.address().toString(),
                worker.machine(),
                Long.toString(worker.born()))));
        return String.join(LINE_SEPARATOR, lines);
    }

    /**
     * Decodes workers, leaving out lines that cannot be read. They have no labels and no resources.
     *
     * @param pool  the pool of the workers
     */
    static List<RegisteredWorker> decode(String text, String pool) {
        List<RegisteredWorker> workers = new ArrayList<>();
        for (String line : text.split(LINE_SEPARATOR)) {
            decodeLine(line, pool).ifPresent(workers::add);
        }
        return workers;
    }

    private static Optional<RegisteredWorker> decodeLine(String line, String pool) {
        String[] fields = line.split(FIELD_SEPARATOR, -1);
        if (fields.length != FIELDS) {
            return Optional.empty();
        }
        try {
            long born = Long.parseLong(fields[3]);
            return WorkerAddress.parse(fields[1])
                    .map(address -> new RegisteredWorker(
                            fields[0], fields[2], pool, address, "", List.of(), ResourceAmount.NONE, false, born));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
