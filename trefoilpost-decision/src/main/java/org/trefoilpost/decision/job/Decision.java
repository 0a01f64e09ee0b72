package org.trefoilpost.decision.job;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * A decision with the inputs that led to it, for the log.
 */
public final class Decision {
    private final String name;
    private final boolean failure;
    private final Map<String, Object> inputs = new LinkedHashMap<>();

    private Decision(String name, boolean failure) {
        this.name = Objects.requireNonNull(name, "name");
        this.failure = failure;
    }

    /**
     * Obtains an ordinary decision.
     *
     * @param name  the stable name, such as {@code task-placed}, not null
     * @return the decision, not null
     */
    public static Decision of(String name) {
        return new Decision(name, false);
    }

    /**
     * Obtains a decision that a request or a task suffers from.
     *
     * @param name  the stable name, not null
     * @return the decision, not null
     */
    public static Decision failure(String name) {
        return new Decision(name, true);
    }

    /**
     * Adds an input.
     *
     * @param key  the input's name, not null
     * @param value  the input's value, not null
     * @return this, not null
     */
    public Decision with(String key, Object value) {
        inputs.put(key, value);
        return this;
    }

    /**
     * Returns the stable name.
     *
     * @return the name, not null
     */
    public String name() {
        return name;
    }

    /**
     * Returns whether a request or a task suffers from the decision.
     *
     * @return true if one does
     */
    public boolean isFailure() {
        return failure;
    }

    /**
     * Returns the inputs in the order in which they were added.
     *
     * @return the inputs, not null
     */
    public Map<String, Object> inputs() {
        return inputs;
    }
}
