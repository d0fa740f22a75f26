package maplespread.partition.client;

import static maplespread.partition.Golden.assertGolden;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import maplespread.partition.Hearings;
import org.junit.jupiter.api.Test;

/** The bytes that members of other versions send and read, as they were recorded. */
class MessagesGoldenTest {
    @Test
    void eachMessageIsSentAsRecorded() throws Exception {
        Hearings hearings = new Hearings(100);
        hearings.heard(150, "n1", 22, 5, true);
        Note[] notes = {
            Note.ask(11, new Orders.Question(3, 9), 1000, 2, true),
            Note.answer(11, 3, true),
            Note.answer(11, 4, false),
            Note.heard(11, hearings.report(190)),
            Note.here(11, "127.0.0.1:7070")
        };
        StringBuilder seen = new StringBuilder();
        for (Note note : notes) {
            seen.append(new String(note.bytes(), StandardCharsets.UTF_8)).append('\n');
            assertEquals(note, Note.read(note.bytes()));
        }
        assertGolden("messages.txt", seen.toString());
    }

    @Test
    void whatIsNoMessageIsPassedOver() {
        for (String text : List.of(
                "",
                "nonsense",
                "null",
                "{}",
                "{\"kind\":\"LATER\",\"run\":1}",
                "{\"kind\":\"HERE\",\"run\":1}",
                "{\"kind\":\"HEARD\",\"run\":1}",
                "{\"kind\":\"HEARD\",\"run\":1,\"report\":{\"listensMs\":1}}")) {
            assertNull(Note.read(text.getBytes(StandardCharsets.UTF_8)), text);
        }
        assertEquals(
                Note.answer(5, 6, true),
                Note.read("{\"kind\":\"ANSWER\",\"run\":5,\"number\":6,\"yes\":true,\"later\":[]}"
                        .getBytes(StandardCharsets.UTF_8)));
        assertEquals(
                new Hearings.Report(7, Map.of("x", new Hearings.Heard(1, 2, 3, true))),
                Note.read(("{\"kind\":\"HEARD\",\"run\":1,\"report\":{\"listensMs\":7,\"heard\":"
                                        + "{\"x\":{\"run\":1,\"number\":2,\"quietMs\":3,\"serving\":true}}}}")
                                .getBytes(StandardCharsets.UTF_8))
                        .report());
    }

    /** The agreed value holds tables so, and they are compared by these bytes. */
    @Test
    void aTableIsPackedAsRecorded() throws Exception {
        String table = "{\"rules\":[{\"order\":\"by_key\",\"runs_ms\":300},{}]}";
        assertGolden("packed-table.txt", Packed.of(table) + "\n");
        assertEquals(table, Packed.text(Packed.of(table)));
    }
}
