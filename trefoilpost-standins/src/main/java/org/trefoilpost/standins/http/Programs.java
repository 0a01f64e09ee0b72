package org.trefoilpost.standins.http;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.concurrent.CountDownLatch;
import org.trefoilpost.model.Endpoint;

/**
 * What the stand-ins' programs have in common.
 */
public final class Programs {
    private static final int EXIT_USAGE = 2;

    private Programs() {}

    /**
     * Fills the flags of a program from its arguments, or ends the program with the status 2.
     *
     * @param flags  the object with the annotated flags, not null
     * @param arguments  the program's arguments, not null
     */
    public static void parse(Object flags, String[] arguments) {
        try {
            JCommander.newBuilder().addObject(flags).build().parse(arguments);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    /**
     * Says on the standard output that the program listens, then waits for the signal that ends the process.
     *
     * @param endpoint  where the program listens, not null
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public static void serve(Endpoint endpoint) throws InterruptedException {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(0), "exit"));
        System.out.println("listening " + endpoint);
        System.out.flush();
        new CountDownLatch(1).await();
    }
}
