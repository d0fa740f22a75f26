package maplespread.announce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import maplespread.announce.BgpMessage.Keepalive;
import maplespread.announce.BgpMessage.Notification;
import maplespread.announce.BgpMessage.Open;
import maplespread.announce.BgpMessage.Prefix;
import maplespread.announce.BgpMessage.Update;
import maplespread.announce.BgpSpeaker.State;
import org.junit.jupiter.api.Test;

/** The speaker against a router's side that the test plays message by message. */
class BgpTest {
    private static final long TERM = 1_764_600_000_000L;
    private final List<BgpMessage> sent = new ArrayList<>();
    private final List<String> calls = new ArrayList<>();
    private BgpDecoder router = new BgpDecoder();
    private long now = 1;
    private final BgpSpeaker speaker =
            new BgpSpeaker(4_200_000_001L, "10.0.0.4", "10.0.0.4", "192.0.2.10/32", 9, 1, new BgpSpeaker.Transport() {
                @Override
                public void connect() {
                    calls.add("connect");
                    router = new BgpDecoder();
                }

                @Override
                public void send(byte[] bytes) {
                    try {
                        sent.addAll(router.feed(bytes, bytes.length));
                    } catch (BgpException e) {
                        throw new AssertionError(e);
                    }
                }

                @Override
                public void close() {
                    calls.add("close");
                }

                @Override
                public void event(boolean warning, String name, Object... pairs) {}
            });

    private void hear(BgpMessage... messages) {
        for (BgpMessage m : messages) {
            byte[] bytes = BgpEncoder.encode(m);
            for (byte b : bytes) { // a byte at a time is as good as all at once
                speaker.received(now, new byte[] {b}, 1);
            }
        }
    }

    private void up() {
        speaker.tick(now);
        speaker.connected(now);
        hear(new Open(4_200_000_001L, 6, 77), new Keepalive());
    }

    @Test
    void theAddressIsAnnouncedWithdrawnAndAnnouncedAnewOnTheNextSession() {
        speaker.announce(now, TERM);
        up();
        assertEquals(State.ESTABLISHED, speaker.state());
        Update first = (Update) sent.get(sent.size() - 1);
        assertEquals(List.of(Prefix.of("192.0.2.10/32")), first.announced());
        assertEquals(Prefix.address("10.0.0.4"), first.nextHop());
        assertEquals(BgpSpeaker.preference(TERM), first.localPreference());
        speaker.closed(now);
        assertFalse(speaker.announced());
        now += 10_000;
        up();
        assertTrue(speaker.announced());
        speaker.withdraw(now);
        assertEquals(new Update(List.of(Prefix.of("192.0.2.10")), List.of(), 0, 100), sent.get(sent.size() - 1));
        speaker.shutDown(now);
        assertEquals(new Notification(6, 2), sent.get(sent.size() - 1));
        assertEquals(Long.MAX_VALUE, speaker.tick(now + 1_000_000), "it does not dial again");
    }

    @Test
    void aLaterTermIsPreferred() {
        assertTrue(BgpSpeaker.preference(TERM + 400) > BgpSpeaker.preference(TERM));
        assertEquals(0, BgpSpeaker.preference(5));
    }

    /**
     * The lower of the two hold times counts: 6 s, so a word each 2 s, and 6 s without one end the session.
     */
    @Test
    void silenceEndsTheSessionAndOwnSilenceIsAvoided() {
        up();
        int before = sent.size();
        long end = now + 5900;
        while (now < end) {
            now = Math.min(end, speaker.tick(now));
        }
        assertEquals(2, sent.size() - before);
        now += 200;
        speaker.tick(now);
        assertEquals(new Notification(4, 0), sent.get(sent.size() - 1));
        assertEquals(State.IDLE, speaker.state());
    }

    @Test
    void whatIsOutOfTurnIsAnsweredByItsCode() {
        Object[][] cases = {{new Keepalive(), 5, 1}, {new Open(5, 9, 1), 2, 2}};
        for (Object[] c : cases) {
            speaker.tick(now += 10_000);
            speaker.connected(now);
            hear((BgpMessage) c[0]);
            assertEquals(new Notification((int) c[1], (int) c[2]), sent.get(sent.size() - 1));
        }
        now += 10_000;
        up();
        hear(new Open(4_200_000_001L, 6, 77));
        assertEquals(new Notification(5, 3), sent.get(sent.size() - 1));
    }

    @Test
    void aRouterThatRefusesIsDialledLessOften() {
        int dials = 0;
        for (long end = now + 60_000; now < end; ) {
            long at = speaker.tick(now);
            if (speaker.state() == State.CONNECT) {
                dials++;
                speaker.closed(now);
            }
            now = Math.max(now + 1, Math.min(at, now + 100));
        }
        assertTrue(dials > 5 && dials < 200, "dials in a minute: " + dials);
    }

    /** Whatever bytes come: an error of the protocol or a message, and no more than a message is held. */
    @Test
    void noBytesMakeReadingFail() throws Exception {
        Random random = new Random(2);
        byte[][] good = {
            BgpEncoder.encode(new Open(1, 9, 5)),
            BgpEncoder.encode(new Update(List.of(new Prefix(9, 9)), List.of(Prefix.of("10.0.0.0/8")), 5, 6)),
            BgpEncoder.encode(new Notification(1, 2))
        };
        int errors = 0;
        for (int i = 0; i < 300_000; i++) {
            byte[] bytes = good[random.nextInt(3)].clone();
            for (int n = 1 + random.nextInt(3); n > 0; n--) {
                int at = (random.nextInt(4) == 0 ? 0 : 16) + random.nextInt(bytes.length - 16);
                bytes[at] = (byte) random.nextInt();
            }
            BgpDecoder codec = new BgpDecoder();
            try {
                codec.feed(bytes, bytes.length);
                codec.feed(bytes, bytes.length);
            } catch (BgpException e) {
                assertTrue(e.code() >= 1 && e.code() <= 3, e.getMessage());
                errors++;
            }
        }
        assertTrue(errors > 100_000, "errors " + errors);
        assertThrows(IllegalArgumentException.class, () -> Prefix.of("10.0.0.256/8"));
    }
}
