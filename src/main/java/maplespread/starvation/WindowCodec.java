package maplespread.starvation;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Windows as bytes, for the transport among instances, within a bound each. A window that is too long for it
 * is thinned: jobs are left out evenly by a hash of what they are and the window's number, and counted as
 * left out, so that the comparison has less to go by and no other picture. HdrHistogram's own form would do,
 * but spends 40 bytes on the head of each of a hundred histograms that hold one job.
 *
 * <p>Guards against bytes that are not a window: whatever is out of range or order is no window at all.
 */
public final class WindowCodec {
    private static final int VERSION = 1;
    private static final int MOST = 1 << 20; // entries, and jobs of one

    private WindowCodec() {}

    /** What is sent to each of the others so that all of it stays within so many bytes a second. */
    public static int bytesPerPeer(long bytesPerS, int windowMs, int others) {
        return (int) Math.min(48 * 1024, Math.max(64, bytesPerS * windowMs / 1000 / Math.max(1, others)));
    }

    /** The window in at most so many bytes, thinned where needed. */
    public static byte[] encode(WaitWindow w, int most) {
        byte[] whole = bytes(w);
        for (double part = 0.9 * most / whole.length; whole.length > most && part > 1e-3; part *= 0.8) {
            whole = bytes(thin(w, part));
        }
        return whole;
    }

    private static WaitWindow thin(WaitWindow w, double part) {
        int[] counts = w.counts().clone();
        int left = w.omitted();
        for (int i = 0; i < counts.length; i++) {
            int kept = 0;
            for (int job = 0; job < counts[i]; job++) {
                kept += hash(w.codes()[i] * 31 + w.sequence(), job) < part ? 1 : 0;
            }
            left += counts[i] - kept;
            counts[i] = kept;
        }
        int[] open = w.ongoingCounts().clone();
        for (int i = 0; i < open.length; i++) {
            open[i] = hash(w.ongoingCodes()[i], i) < part ? open[i] : 0;
        }
        return new WaitWindow(
                w.process(),
                w.incarnation(),
                w.sequence(),
                w.lengthMs(),
                left,
                w.codes(),
                counts,
                w.ongoingCodes(),
                open);
    }

    /** From 0 to 1. */
    private static double hash(long code, int job) {
        return new java.util.SplittableRandom(code ^ (long) job << 56).nextDouble();
    }

    private static byte[] bytes(WaitWindow w) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        put(out, VERSION);
        byte[] name = w.process().getBytes(StandardCharsets.UTF_8);
        put(out, name.length);
        out.write(name, 0, name.length);
        put(out, w.incarnation());
        put(out, w.sequence());
        put(out, w.lengthMs());
        put(out, w.omitted());
        put(out, w.codes(), w.counts());
        put(out, w.ongoingCodes(), w.ongoingCounts());
        return out.toByteArray();
    }

    private static void put(ByteArrayOutputStream out, long[] codes, int[] counts) {
        put(out, Arrays.stream(counts).filter(c -> c > 0).count());
        long before = 0;
        for (int i = 0; i < codes.length; i++) {
            if (counts[i] > 0) {
                put(out, codes[i] - before);
                put(out, counts[i]);
                before = codes[i];
            }
        }
    }

    /** Seven bits a byte, the lowest first. */
    private static void put(ByteArrayOutputStream out, long v) {
        for (; (v & ~0x7fL) != 0; v >>>= 7) {
            out.write((int) (v & 0x7f | 0x80));
        }
        out.write((int) v);
    }

    /** What is read so far. */
    private static final class In {
        final byte[] bytes;
        int at;

        In(byte[] bytes) {
            this.bytes = bytes;
        }

        long next(long most) throws MalformedWindowException {
            long v = 0;
            for (int shift = 0; shift < 63; shift += 7) {
                if (at >= bytes.length) {
                    throw new MalformedWindowException("cut off");
                }
                byte b = bytes[at++];
                v |= (long) (b & 0x7f) << shift;
                if (b >= 0) {
                    if (v < 0 || v > most) {
                        break;
                    }
                    return v;
                }
            }
            throw new MalformedWindowException("out of range");
        }

        int small(int most) throws MalformedWindowException {
            return (int) next(most);
        }
    }

    public static WaitWindow decode(byte[] bytes) throws MalformedWindowException {
        In in = new In(bytes);
        if (in.small(127) != VERSION) {
            throw new MalformedWindowException("of another version");
        }
        int length = in.small(255);
        if (in.at + length > bytes.length) {
            throw new MalformedWindowException("cut off");
        }
        String process = new String(bytes, in.at, length, StandardCharsets.UTF_8);
        in.at += length;
        long run = in.next(Long.MAX_VALUE);
        long number = in.next(Long.MAX_VALUE >>> 1);
        int lengthMs = in.small(3_600_000);
        int left = in.small(Integer.MAX_VALUE);
        long[][] ended = entries(in);
        long[][] open = entries(in);
        if (in.at != bytes.length) {
            throw new MalformedWindowException("goes on beyond its end");
        }
        return new WaitWindow(process, run, number, lengthMs, left, ended[0], ints(ended[1]), open[0], ints(open[1]));
    }

    private static long[][] entries(In in) throws MalformedWindowException {
        int n = in.small(Math.min(MOST, (in.bytes.length - in.at) / 2));
        long[] codes = new long[n];
        long[] counts = new long[n];
        long before = 0;
        for (int i = 0; i < n; i++) {
            codes[i] = before + in.next(CellCode.MAX_CODE);
            if (codes[i] > CellCode.MAX_CODE
                    || i > 0 && codes[i] == before
                    || CellCode.bin(codes[i]) >= CellCode.BIN_LOWER_MS.length) {
                throw new MalformedWindowException("out of range or order");
            }
            counts[i] = in.next(MOST);
            before = codes[i];
        }
        return new long[][] {codes, counts};
    }

    private static int[] ints(long[] all) {
        return Arrays.stream(all).mapToInt(v -> (int) v).toArray();
    }
}
