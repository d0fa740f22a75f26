package maplespread.membership.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplespread.membership.MembershipSettings;
import org.junit.jupiter.api.Test;

class TrafficTest {
    private static final int CHANNEL = 9;
    private static final int PACKETS = 50;

    private static ClusterTransport group(String name, int port, int seedPort) throws Exception {
        LinkedHashMap<Integer, byte[]> keys = new LinkedHashMap<>(Map.of(1, new byte[32]));
        return new ClusterTransport(
                MembershipSettings.of(name, "127.0.0.1:" + port, List.of("127.0.0.1:" + seedPort)), keys, 1);
    }

    private static int freePort() throws Exception {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Each packet counts once at both ends, with its headers; what was dropped stands apart. */
    @Test
    void bothEndsCountTheSamePacketsAndBytes() throws Exception {
        int portA = freePort();
        int portB = freePort();
        try (ClusterTransport a = group("a", portA, portB);
                ClusterTransport b = group("b", portB, portA)) {
            CountDownLatch joined = new CountDownLatch(1);
            a.addListener((before, after) -> joined.countDown());
            if (a.members().size() < 2) {
                assertTrue(joined.await(20, TimeUnit.SECONDS), "a hears of b");
            }
            CountDownLatch heard = new CountDownLatch(PACKETS);
            b.registerChannel(CHANNEL, (from, bytes) -> heard.countDown());
            int sent = 0;
            for (int i = 0; i < PACKETS; i++) {
                sent += a.send(CHANNEL, "b", new byte[100 + i]) ? 1 : 0;
            }
            assertEquals(PACKETS, sent);
            assertTrue(heard.await(20, TimeUnit.SECONDS));
            ChannelTrafficMeter.TrafficCount out =
                    a.traffic().byChannel().get(CHANNEL).out();
            assertEquals(out, b.traffic().byChannel().get(CHANNEL).in());
            assertEquals(PACKETS, out.packets());
            int payload = PACKETS * 100 + PACKETS * (PACKETS - 1) / 2;
            long around = (out.bytes() - payload) / PACKETS;
            assertEquals(0, (out.bytes() - payload) % PACKETS, "the same around each payload");
            assertTrue(around > ChannelTrafficMeter.HEADER_BYTES + 32, "headers and seal: " + around);
            try (DatagramSocket stranger = new DatagramSocket()) {
                stranger.send(new DatagramPacket(new byte[77], 77, InetAddress.getLoopbackAddress(), portB));
            }
            CountDownLatch after = new CountDownLatch(1);
            b.registerChannel(CHANNEL + 1, (from, bytes) -> after.countDown());
            assertTrue(a.send(CHANNEL + 1, "b", new byte[1]));
            assertTrue(after.await(20, TimeUnit.SECONDS), "comes after the stranger's packet");
            ChannelTrafficMeter.ChannelTraffic dropped = b.traffic().byChannel().get(128);
            assertEquals(new ChannelTrafficMeter.TrafficCount(1, 77 + ChannelTrafficMeter.HEADER_BYTES), dropped.in());
        }
    }
}
