package org.trefoilpost.entry;

import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.trefoilpost.entry.operator.ProgramVersion;
import org.trefoilpost.entry.settings.EntryCommand;
import org.trefoilpost.entry.settings.EntrySettings;
import org.trefoilpost.entry.settings.SettingsException;

/**
 * The program {@code trefoilpost-entry}.
 */
public final class Main {
    /** The exit code of a program that did what it was asked. */
    static final int EXIT_OK = 0;

    /** The exit code of a program that could not start. */
    static final int EXIT_FAILED = 1;

    /** The exit code of a program with wrong settings. */
    static final int EXIT_WRONG_SETTINGS = 2;

    private Main() {}

    /**
     * Runs the program until it is told to stop.
     *
     * @param arguments  the command line, not null
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        int status = run(arguments, System.getenv(), System.out, System.err);
        if (status != EXIT_OK) {
            System.exit(status);
        }
    }

    /**
     * Runs the program.
     *
     * @param arguments  the command line, not null
     * @param environment  the environment's variables, not null
     * @param out  where answers go, not null
     * @param err  where faults go, not null
     * @return the exit code
     * @throws InterruptedException if the thread is interrupted
     */
    static int run(String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err)
            throws InterruptedException {
        EntryCommand command = EntryCommand.parse(arguments, environment);
        if (command.helpWanted()) {
            out.print(command.help());
            return EXIT_OK;
        }
        if (command.versionWanted()) {
            out.println(ProgramVersion.current());
            return EXIT_OK;
        }
        try {
            EntrySettings settings = command.settings();
            if (command.checkWanted()) {
                out.println(settings);
                return EXIT_OK;
            }
            return serve(settings, out, err);
        } catch (SettingsException e) {
            e.faults().forEach(err::println);
            return EXIT_WRONG_SETTINGS;
        }
    }

    private static int serve(EntrySettings settings, PrintStream out, PrintStream err) throws InterruptedException {
        EntryProgram program = new EntryProgram(settings);
        CountDownLatch stopped = new CountDownLatch(1);
        // Requests may arrive before the start is complete, so signals must be handled from before then.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(program, stopped), "shutdown"));
        try {
            program.start()
                    .ifPresent(entry -> out.println(
                            "callers " + entry.callerEndpoint() + " operators " + entry.operatorEndpoint()));
        } catch (Exception e) {
            err.println("the entry could not start: " + e.getMessage());
            return EXIT_FAILED;
        }
        stopped.await();
        return EXIT_OK;
    }

    /**
     * Stops the entry and ends the process. After a failed start, the exit code remains that of the failure.
     */
    private static void stop(EntryProgram program, CountDownLatch stopped) {
        boolean wasRunning = program.stop();
        stopped.countDown();
        if (wasRunning) {
            Runtime.getRuntime().halt(EXIT_OK);
        }
    }
}
