package maplespread.partition.client;

import static maplespread.partition.Golden.assertGolden;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.partition.HeartbeatTable;
import org.junit.jupiter.api.Test;

/** The bytes exchanged with members of other versions must match the recorded ones. */
class PartitionMessageGoldenTest {
    @Test
    void messagesAreEncodedAsRecorded() throws Exception {
        HeartbeatTable heartbeats = new HeartbeatTable(100);
        heartbeats.recordHeartbeat(150, "n1", 22, 5, true);
        PartitionMessage[] messages = {
            PartitionMessage.leaseRequest(11, new OrderingState.LeaseRound(3, 9), 1000, 2, true),
            PartitionMessage.leaseResponse(11, 3, true),
            PartitionMessage.leaseResponse(11, 4, false),
            PartitionMessage.heartbeatReport(11, heartbeats.report(190)),
            PartitionMessage.advertisedAddress(11, "127.0.0.1:7070")
        };
        StringBuilder encoded = new StringBuilder();
        for (PartitionMessage message : messages) {
            encoded.append(new String(message.encode(), StandardCharsets.UTF_8)).append('\n');
            assertEquals(Optional.of(message), PartitionMessage.decode(message.encode()));
        }
        assertGolden("messages.txt", encoded.toString());
    }

    @Test
    void unknownOrIncompleteMessagesAreIgnored() {
        for (String text : List.of(
                "",
                "nonsense",
                "null",
                "{}",
                "{\"kind\":\"LATER\",\"run\":1}",
                "{\"kind\":\"HERE\",\"run\":1}",
                "{\"kind\":\"HEARD\",\"run\":1}",
                "{\"kind\":\"HEARD\",\"run\":1,\"report\":{\"listensMs\":1}}")) {
            assertEquals(Optional.empty(), PartitionMessage.decode(text.getBytes(StandardCharsets.UTF_8)), text);
        }
        assertEquals(
                Optional.of(PartitionMessage.leaseResponse(5, 6, true)),
                PartitionMessage.decode("{\"kind\":\"ANSWER\",\"run\":5,\"number\":6,\"yes\":true,\"later\":[]}"
                        .getBytes(StandardCharsets.UTF_8)));
        assertEquals(
                new HeartbeatTable.Report(7, Map.of("x", new HeartbeatTable.Heartbeat(1, 2, 3, true))),
                PartitionMessage.decode(("{\"kind\":\"HEARD\",\"run\":1,\"report\":{\"listensMs\":7,\"heard\":"
                                        + "{\"x\":{\"run\":1,\"number\":2,\"quietMs\":3,\"serving\":true}}}}")
                                .getBytes(StandardCharsets.UTF_8))
                        .orElseThrow()
                        .report());
    }

    /** The replicated value holds tables in this form, and tables are compared by these bytes. */
    @Test
    void tablesAreCompressedAsRecorded() throws Exception {
        String table = "{\"rules\":[{\"order\":\"by_key\",\"runs_ms\":300},{}]}";
        assertGolden("packed-table.txt", CompressedTable.compress(table) + "\n");
        assertEquals(table, CompressedTable.decompress(CompressedTable.compress(table)));
    }
}
