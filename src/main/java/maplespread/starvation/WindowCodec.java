package maplespread.starvation;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Encodes windows for the transport among dispatchers, each within a number of bytes, and decodes them. A window
 * that is too long is thinned: requests are left out evenly, by a hash of what they are and the window's number,
 * and counted as omitted, so that a comparison has less to go by and no other picture. Whatever is out of range
 * or order is no window at all.
 *
 * <p>The form: version, the process's name with its length, incarnation, sequence, length in ms, omitted
 * requests; then the ended and the ongoing requests, each as a number of entries and for each entry the
 * difference of its code to the one before and its count. Numbers have seven bits a byte, the lowest first.
 */
public final class WindowCodec {
    private static final int VERSION = 1;
    private static final int MAX_ENTRIES = 1 << 20;
    private static final int MAX_COUNT = 1 << 20;
    private static final int MAX_VERSION = 127;
    private static final int MAX_NAME_BYTES = 255;
    private static final int MAX_LENGTH_MS = 3_600_000;
    private static final long MAX_SEQUENCE = Long.MAX_VALUE >>> 1;

    private static final int MAX_WINDOW_BYTES = 48 * 1024;
    private static final int MIN_WINDOW_BYTES = 64;
    private static final long MS_PER_SECOND = 1000;

    private static final int BITS_PER_BYTE = 7;
    private static final int LOW_BITS = 0x7f;
    private static final int MORE_BIT = 0x80;
    private static final int MAX_NUMBER_BITS = 63;

    /** Share of the permitted bytes that the first thinning aims at, and by which each next one keeps less. */
    private static final double FIRST_THINNING = 0.9;

    private static final double NEXT_THINNING = 0.8;
    private static final double MIN_RETAINED_SHARE = 1e-3;
    private static final int CODE_HASH_FACTOR = 31;
    private static final int REQUEST_HASH_SHIFT = 56;

    private WindowCodec() {}

    /** Bytes for a window to each of the others, so that all of them together stay within {@code bytesPerS}. */
    public static int bytesPerPeer(long bytesPerS, int windowMs, int others) {
        long bytes = bytesPerS * windowMs / MS_PER_SECOND / Math.max(1, others);
        return (int) Math.min(MAX_WINDOW_BYTES, Math.max(MIN_WINDOW_BYTES, bytes));
    }

    /** The window in at most {@code maxBytes}, thinned where needed. */
    public static byte[] encode(WaitWindow window, int maxBytes) {
        byte[] bytes = write(window);
        double retainedShare = FIRST_THINNING * maxBytes / bytes.length;
        while (bytes.length > maxBytes && retainedShare > MIN_RETAINED_SHARE) {
            bytes = write(thin(window, retainedShare));
            retainedShare *= NEXT_THINNING;
        }
        return bytes;
    }

    private static WaitWindow thin(WaitWindow window, double retainedShare) {
        int[] counts = window.counts().clone();
        int omitted = window.omitted();
        for (int i = 0; i < counts.length; i++) {
            int retained = 0;
            for (int request = 0; request < counts[i]; request++) {
                long code = window.codes()[i] * CODE_HASH_FACTOR + window.sequence();
                retained += hash(code, request) < retainedShare ? 1 : 0;
            }
            omitted += counts[i] - retained;
            counts[i] = retained;
        }
        int[] ongoing = window.ongoingCounts().clone();
        for (int i = 0; i < ongoing.length; i++) {
            ongoing[i] = hash(window.ongoingCodes()[i], i) < retainedShare ? ongoing[i] : 0;
        }
        return new WaitWindow(
                window.process(),
                window.incarnation(),
                window.sequence(),
                window.lengthMs(),
                omitted,
                window.codes(),
                counts,
                window.ongoingCodes(),
                ongoing);
    }

    /** From 0 to 1. */
    private static double hash(long code, int request) {
        return new SplittableRandom(code ^ (long) request << REQUEST_HASH_SHIFT).nextDouble();
    }

    // ------------------------------------------------------------ writing

    private static byte[] write(WaitWindow window) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        writeNumber(out, VERSION);
        byte[] name = window.process().getBytes(StandardCharsets.UTF_8);
        writeNumber(out, name.length);
        out.write(name, 0, name.length);
        writeNumber(out, window.incarnation());
        writeNumber(out, window.sequence());
        writeNumber(out, window.lengthMs());
        writeNumber(out, window.omitted());
        writeEntries(out, window.codes(), window.counts());
        writeEntries(out, window.ongoingCodes(), window.ongoingCounts());
        return out.toByteArray();
    }

    private static void writeEntries(ByteArrayOutputStream out, long[] codes, int[] counts) {
        writeNumber(out, Arrays.stream(counts).filter(count -> count > 0).count());
        long before = 0;
        for (int i = 0; i < codes.length; i++) {
            if (counts[i] > 0) {
                writeNumber(out, codes[i] - before);
                writeNumber(out, counts[i]);
                before = codes[i];
            }
        }
    }

    private static void writeNumber(ByteArrayOutputStream out, long number) {
        long rest = number;
        while ((rest & ~LOW_BITS) != 0) {
            out.write((int) (rest & LOW_BITS | MORE_BIT));
            rest >>>= BITS_PER_BYTE;
        }
        out.write((int) rest);
    }

    // ------------------------------------------------------------ reading

    /** Reads a window's bytes from the beginning. */
    private static final class Reader {
        private final byte[] bytes;
        private int position;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        int remaining() {
            return bytes.length - position;
        }

        long number(long max) throws MalformedWindowException {
            long number = 0;
            for (int shift = 0; shift < MAX_NUMBER_BITS; shift += BITS_PER_BYTE) {
                if (position >= bytes.length) {
                    throw new MalformedWindowException("cut off");
                }
                byte next = bytes[position++];
                number |= (long) (next & LOW_BITS) << shift;
                if (next >= 0) {
                    if (number < 0 || number > max) {
                        break;
                    }
                    return number;
                }
            }
            throw new MalformedWindowException("out of range");
        }

        int smallNumber(int max) throws MalformedWindowException {
            return (int) number(max);
        }

        String text(int length) throws MalformedWindowException {
            if (position + length > bytes.length) {
                throw new MalformedWindowException("cut off");
            }
            String text = new String(bytes, position, length, StandardCharsets.UTF_8);
            position += length;
            return text;
        }
    }

    /** Codes in ascending order, each with its count. */
    private static final class Entries {
        final long[] codes;
        final int[] counts;

        Entries(int size) {
            codes = new long[size];
            counts = new int[size];
        }
    }

    /** Reads a window; {@link MalformedWindowException} where the bytes are none of this version. */
    public static WaitWindow decode(byte[] bytes) throws MalformedWindowException {
        Reader reader = new Reader(bytes);
        if (reader.smallNumber(MAX_VERSION) != VERSION) {
            throw new MalformedWindowException("of another version");
        }
        String process = reader.text(reader.smallNumber(MAX_NAME_BYTES));
        long incarnation = reader.number(Long.MAX_VALUE);
        long sequence = reader.number(MAX_SEQUENCE);
        int lengthMs = reader.smallNumber(MAX_LENGTH_MS);
        int omitted = reader.smallNumber(Integer.MAX_VALUE);
        Entries ended = readEntries(reader);
        Entries ongoing = readEntries(reader);
        if (reader.remaining() > 0) {
            throw new MalformedWindowException("goes on beyond its end");
        }
        return new WaitWindow(
                process,
                incarnation,
                sequence,
                lengthMs,
                omitted,
                ended.codes,
                ended.counts,
                ongoing.codes,
                ongoing.counts);
    }

    private static Entries readEntries(Reader reader) throws MalformedWindowException {
        // An entry has two bytes at least: more of them than that cannot follow.
        Entries entries = new Entries(reader.smallNumber(Math.min(MAX_ENTRIES, reader.remaining() / 2)));
        long before = 0;
        for (int i = 0; i < entries.codes.length; i++) {
            long code = before + reader.number(CellCode.MAX_CODE);
            boolean ascending = i == 0 || code != before;
            if (code > CellCode.MAX_CODE || !ascending || CellCode.bin(code) >= CellCode.BIN_LOWER_MS.length) {
                throw new MalformedWindowException("out of range or order");
            }
            entries.codes[i] = code;
            entries.counts[i] = reader.smallNumber(MAX_COUNT);
            before = code;
        }
        return entries;
    }
}
