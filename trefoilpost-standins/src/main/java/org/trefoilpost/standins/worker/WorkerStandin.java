package org.trefoilpost.standins.worker;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import org.trefoilpost.standins.http.Programs;

/**
 * The program that stands in for one worker or for many.
 */
public final class WorkerStandin {
    @ParametersDelegate
    private final WorkerSettings settings = new WorkerSettings();

    @Parameter(names = "--count", description = "the workers that run in this process")
    private int count = 1;

    @Parameter(names = "--id-prefix", description = "the start of the workers' and racks' names when there are several")
    private String idPrefix = "w";

    @Parameter(names = "--per-rack", description = "the workers in a rack when there are several")
    private int perRack = 4;

    private WorkerStandin() {}

    /**
     * Runs the stand-in until the process gets a signal.
     *
     * @param arguments  the flags of {@link WorkerSettings} and of this class, not null
     * @throws IOException if an endpoint can't be bound or the run log can't be opened
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        WorkerStandin program = new WorkerStandin();
        Programs.parse(program, arguments);
        WorkerFleet fleet = program.count == 1
                ? WorkerFleet.of(WorkerServer.start(program.settings))
                : WorkerFleet.start(program.settings, program.count, program.idPrefix, program.perRack);
        Programs.serve(fleet.workers().get(0).endpoint());
    }
}
