package maplespread.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

class EventTest {
    /** Guards against a peer that writes lines of its own into the log. */
    @Test
    void textFormKeepsOneLineAndQuotesWhatNeedsIt() {
        assertEquals(
                "registry.rebuilt revision=17 why=\"a \\\"b\\\"\\nc=d\" empty=\"\"",
                Event.of("registry.rebuilt", "revision", 17, "none", null, "why", "a \"b\"\nc=d")
                        .with("empty", "")
                        .toString());
    }

    @Test
    void jsonFormHasEachFieldAsAMember() {
        String line = JsonLinesWriter.line(new LogEntry(
                RuntimeProvider.createTimestamp(),
                Thread.currentThread(),
                Map.of("revision", "17", "why", "a\nb"),
                Event.class.getName(),
                "info",
                "Event.java",
                1,
                null,
                Level.WARN,
                "registry.broken",
                new IllegalStateException("x")));
        JsonObject o = JsonParser.parseString(line).getAsJsonObject();
        assertEquals(17, o.get("revision").getAsLong());
        assertEquals("registry.broken", o.get("event").getAsString());
        assertEquals("a\nb", o.get("why").getAsString());
        assertEquals("WARN", o.get("level").getAsString());
        assertFalse(line.contains("\n"));
    }
}
