package org.trefoilpost.entry.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jboss.logging.Logger;

/**
 * Writes events as JSON objects, one a line, through JBoss Logging.
 */
public final class EventLog {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the log of a class.
     *
     * @param source  the class that logs, not null
     * @return the log, not null
     */
    public static EventLog of(Class<?> source) {
        return new EventLog(Logger.getLogger(source));
    }

    /**
     * Logs an event that is needed only to diagnose a fault.
     *
     * @param event  the event, not null
     */
    public void debug(LogEvent event) {
        if (logger.isDebugEnabled()) {
            logger.debug(line("debug", event));
        }
    }

    /**
     * Logs an ordinary event.
     *
     * @param event  the event, not null
     */
    public void info(LogEvent event) {
        if (logger.isInfoEnabled()) {
            logger.info(line("info", event));
        }
    }

    /**
     * Logs an event that may need an operator's attention.
     *
     * @param event  the event, not null
     */
    public void warn(LogEvent event) {
        logger.warn(line("warn", event));
    }

    /**
     * Logs a failure of the entry itself.
     *
     * @param event  the event, not null
     */
    public void error(LogEvent event) {
        logger.error(line("error", event));
    }

    /**
     * Logs an ordinary event with the time at which it happened.
     *
     * @param event  the event, not null
     * @param happened  the time of the event, not null
     */
    public void info(LogEvent event, Instant happened) {
        if (logger.isInfoEnabled()) {
            logger.info(line("info", event, happened));
        }
    }

    private String line(String level, LogEvent event) {
        return line(level, event, Instant.now());
    }

    private String line(String level, LogEvent event, Instant happened) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", happened.toString());
        line.put("level", level);
        line.put("event", event.name());
        line.putAll(event.fields());
        try {
            return MAPPER.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "cannot write a log event whose fields are strings, numbers and booleans", e);
        }
    }
}
