package maplespread.log;

import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * The JSON form of the log: one object a line, to standard output, warnings and errors to standard error.
 * tinylog's own JSON writer writes to files only, and this platform has no disk that lasts.
 */
public final class JsonLinesWriter implements Writer {
    /** Called by tinylog, with the writer's properties. */
    public JsonLinesWriter(Map<String, String> properties) {}

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION,
                LogEntryValue.CONTEXT);
    }

    @Override
    public void write(LogEntry entry) {
        PrintStream to = entry.getLevel().ordinal() >= Level.WARN.ordinal() ? System.err : System.out;
        to.println(line(entry));
    }

    static String line(LogEntry entry) {
        JsonObject o = new JsonObject();
        o.addProperty("time", entry.getTimestamp().toInstant().toString());
        o.addProperty("level", entry.getLevel().name());
        String where = entry.getClassName();
        boolean event = Event.class.getName().equals(where);
        if (!event) {
            o.addProperty("from", where.substring(where.lastIndexOf('.') + 1));
        }
        o.addProperty(event ? "event" : "message", entry.getMessage());
        entry.getContext()
                .forEach((k, v) -> o.add(
                        k, v.matches("-?[0-9]{1,18}") ? new JsonPrimitive(Long.parseLong(v)) : new JsonPrimitive(v)));
        if (entry.getException() != null) {
            o.addProperty("exception", entry.getException().toString());
        }
        return o.toString();
    }

    @Override
    public void flush() {
        System.out.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
