package maplespread.cluster;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * What one dispatcher says of itself. {@code run}: its process, by when it began in Unix milliseconds; {@code
 * number}: grows with each word of a run; {@code zone}: its own, by name; shares and the mean time from taken
 * to answered of the last seconds, with the count of answers that they stand on.
 */
public record MemberStatus(
        long incarnation,
        long sequence,
        String version,
        String zone,
        Phase phase,
        double rejectedShare,
        double errorShare,
        double meanLatencyMs,
        long samples) {
    /** DRAINING: clients are sent away, by call or since it ends. */
    public enum Phase {
        STARTING,
        SERVING,
        DRAINING
    }

    private static final byte FORM = 1;
    private static final int MOST_TEXT = 64;

    /** At most 200 bytes: longer names are cut. */
    public byte[] encode() {
        byte[] v = text(version);
        byte[] z = text(zone);
        return ByteBuffer.allocate(1 + 2 * 8 + 1 + 4 * 8 + 2 + v.length + z.length)
                .put(FORM)
                .putLong(incarnation)
                .putLong(sequence)
                .put((byte) phase.ordinal())
                .putDouble(rejectedShare)
                .putDouble(errorShare)
                .putDouble(meanLatencyMs)
                .putLong(samples)
                .put((byte) v.length)
                .put(v)
                .put((byte) z.length)
                .put(z)
                .array();
    }

    private static byte[] text(String text) {
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        return all.length <= MOST_TEXT ? all : java.util.Arrays.copyOf(all, MOST_TEXT);
    }

    /** Empty for what is no status: a member of another version may say more, or less. */
    public static Optional<MemberStatus> decode(byte[] bytes) {
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            if (in.get() != FORM) {
                return Optional.empty();
            }
            long run = in.getLong();
            long number = in.getLong();
            Phase phase = Phase.values()[in.get()];
            double refused = in.getDouble();
            double errors = in.getDouble();
            double wait = in.getDouble();
            long samples = in.getLong();
            String version = text(in);
            String zone = text(in);
            boolean sound = refused >= 0
                    && refused <= 1
                    && errors >= 0
                    && errors <= 1
                    && wait >= 0
                    && wait < Double.POSITIVE_INFINITY
                    && samples >= 0
                    && !in.hasRemaining();
            return sound
                    ? Optional.of(new MemberStatus(run, number, version, zone, phase, refused, errors, wait, samples))
                    : Optional.empty();
        } catch (RuntimeException e) { // cut short, or no such phase
            return Optional.empty();
        }
    }

    private static String text(ByteBuffer in) {
        byte[] text = new byte[in.get()];
        in.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    /** Whether this is later than another one of the same name, which may be null. */
    boolean isNewerThan(MemberStatus other) {
        return other == null
                || incarnation > other.incarnation
                || incarnation == other.incarnation && sequence > other.sequence;
    }
}
