package org.trefoilpost.entry.log;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An event to log: a stable name and typed fields.
 */
public final class LogEvent {
    private final String name;
    private final Map<String, Object> fields;

    private LogEvent(String name, Map<String, Object> fields) {
        this.name = name;
        this.fields = fields;
    }

    /**
     * Creates an event without fields.
     *
     * @param name  the stable name, such as {@code configuration-in-force}, not null
     * @return the event, not null
     */
    public static LogEvent of(String name) {
        return new LogEvent(Objects.requireNonNull(name, "name"), Collections.emptyMap());
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
     * Returns the fields in the order in which they were added.
     *
     * @return the unmodifiable fields, not null
     */
    public Map<String, Object> fields() {
        return fields;
    }

    /**
     * Returns a copy of this event with a string field.
     *
     * @param key  the field's name, not null
     * @param value  the field's value, logged as its {@code toString()}, not null
     * @return the copy, not null
     */
    public LogEvent with(String key, Object value) {
        return withField(key, Objects.requireNonNull(value, key).toString());
    }

    /**
     * Returns a copy of this event with a number field.
     *
     * @param key  the field's name, not null
     * @param value  the field's value
     * @return the copy, not null
     */
    public LogEvent with(String key, long value) {
        return withField(key, value);
    }

    /**
     * Returns a copy of this event with a boolean field.
     *
     * @param key  the field's name, not null
     * @param value  the field's value
     * @return the copy, not null
     */
    public LogEvent with(String key, boolean value) {
        return withField(key, value);
    }

    /**
     * Returns a copy of this event with the class and the message of a failure.
     *
     * @param failure  the failure, not null
     * @return the copy, not null
     */
    public LogEvent withFailure(Throwable failure) {
        return with("failure", failure.getClass().getSimpleName())
                .with("failureMessage", String.valueOf(failure.getMessage()));
    }

    private LogEvent withField(String key, Object value) {
        Map<String, Object> copy = new LinkedHashMap<>(fields);
        copy.put(key, value);
        return new LogEvent(name, Collections.unmodifiableMap(copy));
    }

    /**
     * Returns the name and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return name + fields;
    }
}
