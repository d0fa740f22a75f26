package maplespread.membership.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import org.junit.jupiter.api.Test;

/** The traffic figures are part of an admin answer, written by reflection. */
class ChannelTrafficMeterGoldenTest {
    @Test
    void theAnswerKeepsItsMembers() {
        ChannelTrafficMeter traffic = new ChannelTrafficMeter();
        traffic.received(0, 100);
        traffic.sent(2, 50);
        traffic.dropped(7);
        assertEquals(
                "{\"0\":{\"in\":{\"packets\":1,\"bytes\":128},\"out\":{\"packets\":0,\"bytes\":0}},"
                        + "\"2\":{\"in\":{\"packets\":0,\"bytes\":0},\"out\":{\"packets\":1,\"bytes\":78}},"
                        + "\"128\":{\"in\":{\"packets\":1,\"bytes\":35},\"out\":{\"packets\":0,\"bytes\":0}}}",
                new Gson().toJson(traffic.byChannel()));
    }
}
