package maplespread.announce;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import maplespread.announce.BgpMessage.Keepalive;
import maplespread.announce.BgpMessage.Notification;
import maplespread.announce.BgpMessage.Open;
import maplespread.announce.BgpMessage.Prefix;
import maplespread.announce.BgpMessage.Update;
import maplespread.testing.GoldenFile;
import maplespread.testing.Transcript;
import org.junit.jupiter.api.Test;

/** The bytes of BGP messages, and what a speaker sends and reports in seeded sessions, as they were recorded. */
class BgpGoldenTest {
    private static final long AS = 4_200_000_001L;
    private static final long TERM = 1_764_600_000_000L;
    private static final int SEEDS = 12;
    private static final int STEPS = 400;
    private static final List<BgpMessage> MESSAGES = List.of(
            new Open(AS, 9, 77),
            new Open(64_512, 0, 1),
            new Open(5, 9, 1),
            new Keepalive(),
            new Update(List.of(), List.of(Prefix.of("192.0.2.10/32")), Prefix.address("10.0.0.4"), 0xffff_ffffL),
            new Update(List.of(Prefix.of("10.0.0.0/8"), Prefix.of("0.0.0.0/0")), List.of(), 0, 0),
            new Notification(6, 2));

    @Test
    void messagesKeepTheirBytes() throws IOException {
        List<String> lines = new ArrayList<>();
        MESSAGES.forEach(message -> lines.add(HexFormat.of().formatHex(BgpEncoder.encode(message))));
        GoldenFile.check("announce/messages.txt", lines);
    }

    /** A router that answers, stays silent, breaks the protocol or hangs up, by chance. */
    private static String session(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Transcript transcript = new Transcript();
        BgpSpeaker speaker =
                new BgpSpeaker(AS, "10.0.0.4", "10.0.0.4", "192.0.2.10/32", 9, seed, new BgpSpeaker.Transport() {
                    @Override
                    public void connect() {
                        transcript.add("connect");
                    }

                    @Override
                    public void send(byte[] bytes) {
                        transcript.add("send", bytes);
                    }

                    @Override
                    public void close() {
                        transcript.add("close");
                    }

                    @Override
                    public void event(boolean warning, String name, Object... pairs) {
                        transcript.add(name, warning, Arrays.asList(pairs));
                    }
                });
        long now = 1;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextLong(random.nextInt(10) == 0 ? 4_000 : 300);
            transcript.add("tick", speaker.tick(now), speaker.state(), speaker.announced());
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> {
                    speaker.connected(now);
                    receive(speaker, now, MESSAGES.get(0));
                    receive(speaker, now, new Keepalive());
                }
                case 3 -> receive(speaker, now, MESSAGES.get(random.nextInt(MESSAGES.size())));
                case 4 -> speaker.announce(now, TERM + 100L * step);
                case 5 -> speaker.withdraw(now);
                case 6 -> {
                    if (random.nextInt(4) == 0) {
                        speaker.closed(now);
                    }
                }
                case 7 -> {
                    byte[] bytes = BgpEncoder.encode(MESSAGES.get(random.nextInt(MESSAGES.size())));
                    bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
                    speaker.received(now, bytes, bytes.length);
                }
                default -> receive(speaker, now, new Keepalive());
            }
        }
        speaker.shutDown(now);
        transcript.add("tick", speaker.tick(now));
        return transcript.summary();
    }

    private static void receive(BgpSpeaker speaker, long now, BgpMessage message) {
        byte[] bytes = BgpEncoder.encode(message);
        speaker.received(now, bytes, bytes.length);
    }

    @Test
    void seededSessionsSendTheSameMessagesInTheSameOrder() throws IOException {
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            lines.add(seed + " " + session(seed));
        }
        GoldenFile.check("announce/sessions.txt", lines);
    }
}
