package org.trefoilpost.cli;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One command: its words, its arguments, its flags, and how its answer is shown.
 */
enum Command {
    APPLY("apply", "FILE", View.VALUE, "--expected"),
    CONFIGURATION_SHOW("configuration show", "", View.VALUE),
    STATUS("status", "", View.STATUS),
    POOL_LIST("pool list", "", View.POOLS),
    POOL_SHOW("pool show", "POOL", View.POOL),
    PLAN_DRAIN("plan drain", "", View.PLAN, "--worker", "--rack", "--data-centre"),
    PLAN_GROW("plan grow", "", View.PLAN, "--pool", "--by"),
    PLAN_SHRINK("plan shrink", "", View.PLAN, "--pool", "--by"),
    PLAN_MOVE("plan move", "", View.PLAN, "--worker", "--pool"),
    PLAN_WAVE("plan wave", "", View.PLAN, "--pool"),
    PLAN_RELEASE("plan release", "", View.PLAN, "--worker"),
    PLAN_LIST("plan list", "", View.PLANS),
    PLAN_SHOW("plan show", "DIGEST", View.PLAN),
    PLAN_CONFIRM("plan confirm", "DIGEST", View.PLAN),
    PLAN_CANCEL("plan cancel", "DIGEST", View.PLAN),
    PLAN_WATCH("plan watch", "DIGEST", View.PLAN),
    PLAN_EXPLAIN("plan explain", "DIGEST", View.VALUE),
    EVENTS("events", "", View.ROWS, "--pool", "--since"),
    JOB_SUBMIT("job submit", "FILE", View.VALUE),
    JOB_SHOW("job show", "JOB", View.VALUE),
    JOB_LIST("job list", "", View.ROWS),
    JOB_CANCEL("job cancel", "JOB…", View.VALUE),
    VERSION("version", "", View.VALUE);

    /** How an answer is shown to people. */
    enum View {
        VALUE,
        STATUS,
        POOLS,
        POOL,
        PLANS,
        PLAN,
        ROWS
    }

    private final List<String> words;
    private final String arguments;
    private final View view;
    private final Set<String> flags;

    Command(String words, String arguments, View view, String... flags) {
        this.words = List.of(words.split(" "));
        this.arguments = arguments;
        this.view = view;
        this.flags = Set.of(flags);
    }

    static Optional<Command> find(List<String> given) {
        for (Command command : values()) {
            int size = command.words.size();
            if (given.size() >= size && given.subList(0, size).equals(command.words)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    List<String> words() {
        return words;
    }

    View view() {
        return view;
    }

    Set<String> flags() {
        return flags;
    }

    /** Returns whether so many arguments are allowed after the words. */
    boolean acceptsArgumentCount(int count) {
        if (arguments.isEmpty()) {
            return count == 0;
        }
        return arguments.endsWith("…") ? count >= 1 : count == 1;
    }

    /** Returns the form of the command, such as {@code plan show DIGEST}. */
    String usage() {
        StringBuilder text = new StringBuilder(String.join(" ", words));
        if (!arguments.isEmpty()) {
            text.append(' ').append(arguments);
        }
        flags.stream().sorted().forEach(flag -> text.append(" [").append(flag).append(" X]"));
        return text.toString();
    }
}
