package org.trefoilpost.entry.settings;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The command line of the entry, with the environment merged in; a flag wins over its variable.
 */
public final class EntryCommand {
    private static final String VARIABLE_PREFIX = "TREFOILPOST_";

    private final EntryFlags flags;
    private final JCommander commander;
    private final List<SettingsFault> faults;

    private EntryCommand(EntryFlags flags, JCommander commander, List<SettingsFault> faults) {
        this.flags = flags;
        this.commander = commander;
        this.faults = faults;
    }

    /**
     * Parses a command line.
     *
     * @param arguments  the arguments, not null
     * @param environment  the environment's variables, not null
     * @return the command, not null
     */
    public static EntryCommand parse(String[] arguments, Map<String, String> environment) {
        EntryFlags flags = new EntryFlags();
        JCommander commander = commander(flags);
        JCommander described = commander(new EntryFlags());
        described.parse();
        List<SettingsFault> faults = new ArrayList<>();
        List<String> merged = new ArrayList<>(environmentArguments(described, arguments, environment));
        merged.addAll(Arrays.asList(arguments));
        try {
            commander.parse(merged.toArray(String[]::new));
        } catch (ParameterException e) {
            faults.add(SettingsFault.of("command line", String.join(" ", arguments), e.getMessage()));
        }
        unknownArguments(commander)
                .forEach(argument -> faults.add(
                        SettingsFault.of(argument, argument, "no flag has this name; --help lists the flags")));
        unknownVariables(described, environment)
                .forEach(variable -> faults.add(
                        SettingsFault.of(variable, environment.get(variable), "no flag has a variable of this name")));
        return new EntryCommand(flags, commander, faults);
    }

    /**
     * Returns whether the help was asked for.
     *
     * @return true if the flags are to be printed
     */
    public boolean helpWanted() {
        return flags.help;
    }

    /**
     * Returns whether the version was asked for.
     *
     * @return true if the version is to be printed
     */
    public boolean versionWanted() {
        return flags.version;
    }

    /**
     * Returns whether the settings are only to be checked.
     *
     * @return true if the entry is not to start
     */
    public boolean checkWanted() {
        return flags.checkSettings;
    }

    /**
     * Returns the flags with their descriptions.
     *
     * @return the text, not null
     */
    public String help() {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        return text.append("Each flag is also an environment variable, such as TREFOILPOST_ENTRY_ID; a flag wins.\n")
                .toString();
    }

    /**
     * Returns the checked settings.
     *
     * @return the settings, not null
     * @throws SettingsException if any setting is wrong
     */
    public EntrySettings settings() {
        return new SettingsChecker(flags, faults).check();
    }

    private static JCommander commander(EntryFlags flags) {
        return JCommander.newBuilder()
                .programName("trefoilpost-entry")
                .addObject(flags)
                .acceptUnknownOptions(true)
                .build();
    }

    private static List<String> environmentArguments(
            JCommander commander, String[] arguments, Map<String, String> environment) {
        List<String> fromEnvironment = new ArrayList<>();
        for (ParameterDescription parameter : commander.getParameters()) {
            String flag = parameter.getLongestName();
            String value = environment.get(variable(flag));
            if (value != null && !isGiven(arguments, flag)) {
                addArgument(fromEnvironment, parameter, flag, value);
            }
        }
        return fromEnvironment;
    }

    private static void addArgument(List<String> target, ParameterDescription parameter, String flag, String value) {
        boolean isSwitch = parameter.getParameterized().getType() == boolean.class;
        if (!isSwitch) {
            target.add(flag);
            target.add(value);
        } else if (Boolean.parseBoolean(value)) {
            target.add(flag);
        }
    }

    private static boolean isGiven(String[] arguments, String flag) {
        return Arrays.asList(arguments).contains(flag);
    }

    private static List<String> unknownArguments(JCommander commander) {
        return Optional.ofNullable(commander.getUnknownOptions()).orElse(List.of());
    }

    private static List<String> unknownVariables(JCommander commander, Map<String, String> environment) {
        List<String> known = commander.getParameters().stream()
                .map(parameter -> variable(parameter.getLongestName()))
                .collect(Collectors.toList());
        return environment.keySet().stream()
                .filter(name -> name.startsWith(VARIABLE_PREFIX) && !known.contains(name))
                .sorted()
                .collect(Collectors.toList());
    }

    private static String variable(String flag) {
        return VARIABLE_PREFIX + flag.substring("--".length()).replace('-', '_').toUpperCase(Locale.ROOT);
    }
}
