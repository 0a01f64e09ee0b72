package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Runs one case: the class named first, with the record's path. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
public final class Case {
    private static final long LIMIT_SECONDS = 112;

    private Case() {}

    interface Play {
        int run(World world, boolean trouble) throws Exception;
    }

    public static void main(String[] args) throws Exception {
        Play play = (Play) Class.forName("review." + args[0]).getDeclaredConstructor().newInstance();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[1]));
        Runtime.getRuntime().addShutdownHook(new Thread(world::close));
        Thread watchdog = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(LIMIT_SECONDS);
                world.record("RESULT the case could not run: it took too long");
                System.exit(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status = 2;
        try {
            world.record(args[0] + (trouble ? "" : " without the disruption"));
            status = play.run(world, trouble);
        } catch (World.CannotRun e) {
            world.record("RESULT the case could not run: " + e.getMessage());
        } catch (Exception | Error e) {
            world.record("RESULT the case could not run: " + e);
            e.printStackTrace();
        }
        String logs = System.getenv("KEEP_LOGS");
        if (logs != null) {
            // For the search of a cause: the entries' logs go into the folder that is named.
            for (Entry entry : world.entries) {
                Files.write(Path.of(logs, entry.name + ".log"), entry.logLines());
            }
        }
        System.out.println(args[0] + " exits with " + status);
        System.exit(status);
    }
}
