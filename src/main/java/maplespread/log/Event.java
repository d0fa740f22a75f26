package maplespread.log;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;

/**
 * One thing that happened, under a stable name such as {@code registry.rebuilt}, with its fields in order. As
 * text it is {@code registry.rebuilt revision=17 added=2}; as JSON each field is a member. Fields common to
 * many events are called request, worker, revision and endpoint.
 */
public final class Event {
    private static volatile boolean json;

    private final String name;
    private final Map<String, Object> fields = new LinkedHashMap<>();

    private Event(String name) {
        this.name = name;
    }

    /**
     * Has all lines written as JSON, one object a line, on the streams that the text form uses. To be called
     * before anything is logged: tinylog takes its writers once.
     */
    public static void asJson() {
        Configuration.set("writer", "json lines");
        json = true;
    }

    public static Event of(String name) {
        return new Event(name);
    }

    /** With pairs of a key and its value; a value that is null is left out. */
    public static Event of(String name, Object... pairs) {
        Event e = new Event(name);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            e.with((String) pairs[i], pairs[i + 1]);
        }
        return e;
    }

    /** Writes an event with its pairs, as information or as a warning: for the sinks of I/O-free cores. */
    public static void write(boolean warning, String name, Object... pairs) {
        Event e = of(name, pairs);
        if (warning) {
            e.warn();
        } else {
            e.info();
        }
    }

    public Event with(String key, Object value) {
        if (value != null) {
            fields.put(key, value);
        }
        return this;
    }

    public void info() {
        write(() -> Logger.info("{}", this));
    }

    public void warn() {
        write(() -> Logger.warn("{}", this));
    }

    public void error() {
        write(() -> Logger.error("{}", this));
    }

    private void write(Runnable line) {
        if (!json) {
            line.run();
            return;
        }
        fields.forEach((k, v) -> ThreadContext.put(k, v));
        try {
            line.run();
        } finally {
            fields.keySet().forEach(ThreadContext::remove);
        }
    }

    /** The text form; a value with spaces, quotes or an equals sign stands in quotes. */
    @Override
    public String toString() {
        if (json) {
            return name;
        }
        StringBuilder text = new StringBuilder(name);
        fields.forEach((k, v) -> text.append(' ').append(k).append('=').append(quoted(v.toString())));
        return text.toString();
    }

    private static String quoted(String v) {
        boolean plain = !v.isEmpty();
        for (int i = 0; i < v.length() && plain; i++) {
            char c = v.charAt(i);
            plain = c > ' ' && c != '"' && c != '=' && c != 127;
        }
        if (plain) {
            return v;
        }
        // A line break in a value would let a peer write log lines of its own.
        return '"'
                + v.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r")
                + '"';
    }
}
