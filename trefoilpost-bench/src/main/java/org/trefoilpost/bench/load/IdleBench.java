package org.trefoilpost.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Measures what entry processes use while no request comes: store calls and bytes, messages to peers, processor, memory.
 *
 * <p>Arguments: the seconds of each measurement, then {@code entries:workers:pools[:heapMiB]} for each.
 */
public final class IdleBench {
    private static final String[] DEFAULT_CASES = {"1:40:5", "3:40:5", "6:40:5", "9:40:5"};
    private static final int DEFAULT_HEAP_MIB = 96;
    private static final long SETTLE_MILLIS = 12_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double KILO = 1_000;
    private static final double PERCENT_PER_MILLI_A_SECOND = 0.1;

    private final PrintStream out;
    private final int seconds;

    private IdleBench(PrintStream out, int seconds) {
        this.out = out;
        this.seconds = seconds;
    }

    /**
     * Runs the bench.
     *
     * @param args  the seconds and the cases, both optional
     * @throws Exception if a program can't be started or stopped
     */
    public static void main(String[] args) throws Exception {
        IdleBench bench = new IdleBench(System.out, args.length > 0 ? Integer.parseInt(args[0]) : 30);
        String[] cases = args.length > 1 ? Arrays.copyOfRange(args, 1, args.length) : DEFAULT_CASES;
        bench.out.println("| entries | workers | pools | CPU % of a core an entry | RSS MiB | live heap MiB"
                + " | of it own classes MiB | to peers KB/s | from peers KB/s | store calls/s, all | reads/s | writes/s"
                + " | watches/s | store KB/s from it, an entry |");
        bench.out.println("|" + "---|".repeat(14));
        for (String text : cases) {
            bench.measure(text.split(":", -1));
        }
        System.exit(0);
    }

    private void measure(String[] words) throws Exception {
        int entries = Integer.parseInt(words[0]);
        int workers = Integer.parseInt(words[1]);
        int pools = Integer.parseInt(words[2]);
        int heapMib = words.length > 3 ? Integer.parseInt(words[3]) : DEFAULT_HEAP_MIB;
        try (MeasuredFleet fleet = MeasuredFleet.start()) {
            fleet.list(workers);
            fleet.startEntries(entries, heapMib);
            fleet.configure(workers, pools);
            MeasuredFleet.sleep(SETTLE_MILLIS);
            String size = String.format(Locale.ROOT, "| %d | %d | %d ", entries, workers, pools);
            out.println(size + figures(fleet));
        } catch (IllegalStateException | IOException | UncheckedIOException e) {
            out.printf("| %d | %d | %d | failed: %s%n", entries, workers, pools, e.getMessage());
        }
    }

    private String figures(MeasuredFleet fleet) throws IOException {
        List<EntryUsage> before = usages(fleet);
        JsonNode callsBefore = fleet.counters();
        MeasuredFleet.sleep(seconds * MILLIS_PER_SECOND);
        JsonNode calls = fleet.counters();
        List<EntryUsage> after = usages(fleet);
        int entries = before.size();
        double cpuMillis = 0;
        double sent = 0;
        double received = 0;
        for (int i = 0; i < entries; i++) {
            cpuMillis += after.get(i).cpuMillisSince(before.get(i));
            sent += after.get(i).sentSince(before.get(i));
            received += after.get(i).receivedSince(before.get(i));
        }
        double resident = 0;
        double live = 0;
        double own = 0;
        for (MeasuredEntry entry : fleet.entries()) {
            resident += entry.residentMib() / entries;
            double[] heap = entry.liveHeapMib();
            live += heap[0] / entries;
            own += heap[1] / entries;
        }
        double entrySeconds = (double) seconds * entries;
        double reads = perSecond(callsBefore, calls, "reads");
        double writes = perSecond(callsBefore, calls, "writes");
        double watches = perSecond(callsBefore, calls, "watches");
        printPrefixes(callsBefore, calls);
        return String.format(
                Locale.ROOT,
                "| %.2f | %.1f | %.2f | %.2f | %.2f | %.2f | %.1f | %.2f | %.2f | %.2f | %.1f |",
                cpuMillis / entrySeconds * PERCENT_PER_MILLI_A_SECOND,
                resident,
                live,
                own,
                sent / entrySeconds / KILO,
                received / entrySeconds / KILO,
                reads + writes + watches,
                reads,
                writes,
                watches,
                perSecond(callsBefore, calls, "bytesOut") / entries / KILO);
    }

    private void printPrefixes(JsonNode before, JsonNode after) {
        List<String> texts = new ArrayList<>();
        after.path("prefixes").properties().forEach(prefix -> {
            JsonNode earlier = before.path("prefixes").path(prefix.getKey());
            texts.add(String.format(
                    Locale.ROOT,
                    "%s r %.2f w %.2f watch %.2f out %.1f KB/s",
                    prefix.getKey(),
                    difference(earlier, prefix.getValue(), "reads"),
                    difference(earlier, prefix.getValue(), "writes"),
                    difference(earlier, prefix.getValue(), "watches"),
                    difference(earlier, prefix.getValue(), "bytesOut") / KILO));
        });
        System.err.println(String.join("; ", texts));
    }

    private double perSecond(JsonNode before, JsonNode after, String counter) {
        return difference(before.path("total"), after.path("total"), counter);
    }

    private double difference(JsonNode before, JsonNode after, String counter) {
        return (after.path(counter).asDouble() - before.path(counter).asDouble()) / seconds;
    }

    private static List<EntryUsage> usages(MeasuredFleet fleet) {
        return fleet.entries().stream().map(MeasuredEntry::usage).toList();
    }
}
