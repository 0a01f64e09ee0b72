package org.trefoilpost.decision.job;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A scheduling decision and the values that led to it, for the log.
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
     * Obtains a decision that is not a failure.
     *
     * @param name  the stable log event, such as {@code task-placed}, not null
     * @return the decision, not null
     */
    public static Decision of(String name) {
        return new Decision(name, false);
    }

    /**
     * Obtains a decision that affects a request or a task adversely.
     *
     * @param name  the stable log event, not null
     * @return the decision, not null
     */
    public static Decision failure(String name) {
        return new Decision(name, true);
    }

    /**
     * Adds an input value.
     *
     * @param key  the stable field key, not null
     * @param value  the input's value, not null
     * @return this, not null
     */
    public Decision with(String key, Object value) {
        inputs.put(key, value);
        return this;
    }

    /**
     * Adds an input value if there is one.
     *
     * @param key  the stable field key, not null
     * @param value  the input's value, empty to add nothing, not null
     * @return this, not null
     */
    public Decision withIfPresent(String key, Optional<?> value) {
        value.ifPresent(present -> inputs.put(key, present));
        return this;
    }

    /**
     * Adds input values in the order of the map.
     *
     * @param values  the values by stable field key, not null
     * @return this, not null
     */
    public Decision withAll(Map<String, Object> values) {
        inputs.putAll(values);
        return this;
    }

    /**
     * Returns the stable name of the log event.
     *
     * @return the name, not null
     */
    public String name() {
        return name;
    }

    /**
     * Returns whether the decision affects a request or a task adversely.
     *
     * @return true if the decision is a failure
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
