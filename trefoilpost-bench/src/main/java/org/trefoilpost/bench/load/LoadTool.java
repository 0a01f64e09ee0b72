package org.trefoilpost.bench.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.Optional;

/**
 * The program that sends callers' requests to entries and prints what became of them.
 */
public final class LoadTool {
    private static final int OK = 0;
    private static final int USAGE = 2;
    private static final String PROGRAM = "trefoilpost-load";

    private LoadTool() {}

    /**
     * Runs a load; ends with 2 if the flags are wrong.
     *
     * @param args  the flags of {@link LoadSettings}, not null
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /**
     * Runs a load.
     *
     * @param args  the flags, not null
     * @param out  gets the report, not null
     * @param err  gets what is wrong with the flags, not null
     * @return the exit status
     */
    static int run(String[] args, PrintStream out, PrintStream err) {
        LoadSettings settings = new LoadSettings();
        JCommander commander =
                JCommander.newBuilder().programName(PROGRAM).addObject(settings).build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            err.println(PROGRAM + ": " + e.getMessage());
            return USAGE;
        }
        if (settings.help()) {
            StringBuilder usage = new StringBuilder();
            commander.getUsageFormatter().usage(usage);
            out.print(usage);
            return OK;
        }
        Optional<String> fault = settings.fault();
        if (fault.isPresent()) {
            err.println(PROGRAM + ": " + fault.get());
            return USAGE;
        }
        LoadReport report = LoadRun.run(settings);
        out.print(settings.json() ? report.json() + System.lineSeparator() : report.text());
        return OK;
    }
}
