package org.trefoilpost.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Runs one command: checks the whole command line, calls an entry and shows the answer.
 */
public final class CommandLine {
    private static final List<String> COMMAND_FLAGS =
            List.of("--expected", "--worker", "--rack", "--data-centre", "--pool", "--by", "--since");

    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;

    /**
     * Constructs a command line.
     *
     * @param environment  the environment variables, not null
     * @param out  where answers go, not null
     * @param err  where errors go, not null
     */
    public CommandLine(Map<String, String> environment, PrintStream out, PrintStream err) {
        this.environment = Map.copyOf(environment);
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the command.
     *
     * @param arguments  the words and flags, not null
     * @return how the command ended, not null
     */
    public ExitCode run(String... arguments) {
        Options options = new Options();
        JCommander parser = JCommander.newBuilder()
                .programName("trefoilpost")
                .addObject(options)
                .acceptUnknownOptions(true)
                .expandAtSign(false)
                .build();
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            return reportWrongUsage(List.of(e.getMessage()));
        }
        if (options.isHelp()) {
            printHelp(parser);
            return ExitCode.OK;
        }
        if (options.isVersion()) {
            out.println(version());
            return ExitCode.OK;
        }
        return checkAndExecute(options, parser.getUnknownOptions());
    }

    private ExitCode checkAndExecute(Options options, List<String> rest) {
        List<String> words = rest.stream().filter(text -> !isFlag(text)).toList();
        Settings settings = new Settings(options, environment);
        List<String> faults = new ArrayList<>(settings.faults());
        rest.stream().filter(CommandLine::isFlag).forEach(text -> faults.add("unknown flag " + text));
        Optional<Command> command = Command.find(words);
        if (command.isEmpty()) {
            faults.add("unknown command '" + String.join(" ", words) + "'; see --help");
            return reportWrongUsage(faults);
        }
        List<String> arguments = words.subList(command.get().words().size(), words.size());
        RequestFactory factory = new RequestFactory(options, settings);
        checkUsage(command.get(), arguments, options, faults);
        ApiRequest request = factory.request(command.get(), arguments);
        faults.addAll(factory.faults());
        if (!faults.isEmpty()) {
            return reportWrongUsage(faults);
        }
        if (command.get() == Command.VERSION) {
            out.println(version());
            return ExitCode.OK;
        }
        return execute(command.get(), request, settings);
    }

    private static boolean isFlag(String text) {
        return text.startsWith("-");
    }

    private static void checkUsage(Command command, List<String> arguments, Options options, List<String> faults) {
        if (!command.acceptsArgumentCount(arguments.size())) {
            faults.add("wrong arguments " + arguments + "; usage: trefoilpost " + command.usage());
        }
        for (String flag : COMMAND_FLAGS) {
            if (options.value(flag) != null && !command.flags().contains(flag)) {
                faults.add(flag + " has no meaning here; usage: trefoilpost " + command.usage());
            }
        }
    }

    private ExitCode execute(Command command, ApiRequest request, Settings settings) {
        ApiClient client = new ApiClient(settings);
        try {
            if (command == Command.PLAN_WATCH) {
                return reportWatchResult(new PlanWatcher(client, out, settings.isJson()).run(request.target()));
            }
            return printResponse(command, client.call(request, Duration.ZERO), settings);
        } catch (ApiException e) {
            err.println("trefoilpost: " + e.getMessage());
            return e.exitCode();
        }
    }

    private ExitCode reportWatchResult(ApiResponse answer) {
        if (!answer.isOk()) {
            err.println("trefoilpost: " + answer.errorMessage());
        }
        if (answer.isVoidPlan()) {
            return ExitCode.CONFLICT;
        }
        return answer.tree().path("state").asText().equals("cancelled") ? ExitCode.REFUSED : answer.exitCode();
    }

    private ExitCode printResponse(Command command, ApiResponse answer, Settings settings) {
        if (settings.isJson()) {
            out.println(answer.body());
        } else if (answer.isOk()) {
            out.print(TextRenderer.render(command.view(), answer.tree()));
        }
        if (!answer.isOk()) {
            err.println("trefoilpost: " + answer.errorMessage());
        }
        boolean isVoid = command == Command.PLAN_CONFIRM && answer.isVoidPlan();
        return isVoid ? ExitCode.CONFLICT : answer.exitCode();
    }

    private ExitCode reportWrongUsage(List<String> faults) {
        faults.forEach(fault -> err.println("trefoilpost: " + fault));
        return ExitCode.WRONG_USAGE;
    }

    private void printHelp(JCommander parser) {
        out.println("Commands:");
        for (Command command : Command.values()) {
            out.println("  trefoilpost " + command.usage());
        }
        StringBuilder flags = new StringBuilder();
        parser.getUsageFormatter().usage(flags);
        out.print(flags);
    }

    private static String version() {
        return Optional.ofNullable(CommandLine.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
