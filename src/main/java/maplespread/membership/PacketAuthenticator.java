package maplespread.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import maplespread.membership.MemberUpdate.State;
import maplespread.membership.SwimMessage.Kind;

/**
 * Messages as bytes, sealed by HMAC-SHA-256 (RFC 2104). A packet names its form's version, its key, its
 * sender's run and a number that only grows, and when it was sent; what is not of a known key, is no longer
 * fresh, or has come before is refused. Whatever is malformed is counted and dropped: reading never fails
 * in another way.
 */
public final class PacketAuthenticator {
    /** Why packets were dropped. */
    public enum DropReason {
        SHORT,
        VERSION,
        KEY,
        SEAL,
        STALE,
        REPLAY,
        FORM
    }

    /** What a packet holds: the membership's message on channel 0, else a channel's payload. */
    public record OpenedPacket(String sender, String address, int channel, SwimMessage message, byte[] payload) {}

    private static final byte VERSION = 2;
    private static final int MAC = 32, HEAD = 1 + 4 + 8 + 8 + 8;
    private static final int WINDOW = 64; // packets that may come out of order
    private static final int MOST_SENDERS = 4096;

    private static final class Seen {
        final long boot;
        long newest;
        long bits; // of the WINDOW up to the newest

        Seen(long boot) {
            this.boot = boot;
        }
    }

    private final String name, address;
    private final long boot, freshMs;
    private final Map<Integer, Mac> setKeys = new TreeMap<>();
    private int sealing;
    private long count;
    private final Map<DropReason, Long> dropped = new HashMap<>();
    private final Map<String, Seen> seen = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Seen> eldest) {
            return size() > MOST_SENDERS; // only holders of a key can make one
        }
    };

    /** {@code freshMs}: by how much clocks may differ, with the way's delay. */
    public PacketAuthenticator(String name, String address, long boot, long freshMs) {
        this.name = name;
        this.address = address;
        this.boot = boot;
        this.freshMs = freshMs;
    }

    /**
     * The keys that are good from now on, by id; the first seals. To change keys without a gap: add the new
     * one everywhere, then put it first everywhere, then take the old one away.
     */
    public void setKeys(LinkedHashMap<Integer, byte[]> next) {
        if (next.isEmpty()) {
            throw new IllegalArgumentException("at least one key is needed");
        }
        setKeys.clear();
        next.forEach((id, secret) -> {
            try {
                Mac mac = Mac.getInstance("HmacSHA256");
                mac.init(new SecretKeySpec(secret, "HmacSHA256"));
                setKeys.put(id, mac);
            } catch (GeneralSecurityException e) {
                throw new IllegalArgumentException("key " + id + " cannot be used: " + e.getMessage());
            }
        });
        sealing = next.keySet().iterator().next();
    }

    /** How many packets were dropped for what. */
    public Map<DropReason, Long> dropped() {
        return Map.copyOf(dropped);
    }

    /** A message of the membership, on channel 0; {@code wallMs}: Unix time. */
    public byte[] seal(SwimMessage m, long wallMs) {
        ByteBuffer out = ByteBuffer.allocate(size(m));
        out.put((byte) m.kind().ordinal()).putLong(m.sequence());
        text(out, m.target());
        text(out, m.targetAddress());
        out.putShort((short) m.updates().size());
        for (MemberUpdate u : m.updates()) {
            text(out, u.name());
            text(out, u.address());
            out.put((byte) u.state().ordinal()).putLong(u.processIncarnation()).putLong(u.incarnation());
            text(out, u.suspectedBy());
        }
        return seal(0, java.util.Arrays.copyOf(out.array(), out.position()), wallMs);
    }

    /** What another part sends, on its channel. */
    public byte[] seal(int channel, byte[] payload, long wallMs) {
        ByteBuffer out = ByteBuffer.allocate(HEAD + 2 * (2 + 1024) + 1 + payload.length + MAC);
        out.put(VERSION).putInt(sealing).putLong(boot).putLong(++count).putLong(wallMs);
        text(out, name);
        text(out, address);
        out.put((byte) channel).put(payload);
        byte[] mac = mac(setKeys.get(sealing), out.array(), out.position());
        return java.util.Arrays.copyOf(out.put(mac).array(), out.position());
    }

    private static int size(SwimMessage m) {
        int size = 1 + 8 + 2 + 4 * (2 + 1024);
        for (MemberUpdate u : m.updates()) {
            size += 3 * 2
                    + 17
                    + 4
                            * (u.name().length()
                                    + u.address().length()
                                    + u.suspectedBy().length());
        }
        return size;
    }

    private static byte[] mac(Mac mac, byte[] of, int length) {
        mac.update(of, 0, length);
        return mac.doFinal();
    }

    /** What the packet says; null where it is dropped. */
    public OpenedPacket open(byte[] packet, int length, long wallMs) {
        if (length < HEAD + MAC) {
            return drop(DropReason.SHORT);
        }
        ByteBuffer in = ByteBuffer.wrap(packet, 0, length - MAC);
        if (in.get() != VERSION) {
            return drop(DropReason.VERSION);
        }
        Mac key = setKeys.get(in.getInt());
        if (key == null) {
            return drop(DropReason.KEY);
        }
        byte[] should = mac(key, packet, length - MAC);
        if (!MessageDigest.isEqual(should, java.util.Arrays.copyOfRange(packet, length - MAC, length))) {
            return drop(DropReason.SEAL);
        }
        long run = in.getLong();
        long number = in.getLong();
        if (Math.abs(in.getLong() - wallMs) > freshMs) {
            return drop(DropReason.STALE);
        }
        try {
            String from = text(in);
            String fromAddress = text(in);
            if (!fresh(from + '\0' + fromAddress, run, number)) {
                return drop(DropReason.REPLAY);
            }
            int channel = in.get();
            if (channel != 0) {
                byte[] payload = new byte[in.remaining()];
                in.get(payload);
                return new OpenedPacket(from, fromAddress, channel, null, payload);
            }
            Kind kind = Kind.values()[in.get()];
            long seq = in.getLong();
            String target = text(in);
            String targetAddress = text(in);
            int count = in.getShort();
            List<MemberUpdate> updates = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String of = text(in);
                String at = text(in);
                State state = State.values()[in.get()];
                updates.add(new MemberUpdate(of, at, state, in.getLong(), in.getLong(), text(in)));
            }
            if (in.hasRemaining() || count < 0) {
                return drop(DropReason.FORM);
            }
            return new OpenedPacket(
                    from, fromAddress, 0, new SwimMessage(kind, seq, target, targetAddress, updates), null);
        } catch (RuntimeException e) { // ends inside a member, or names none
            return drop(DropReason.FORM);
        }
    }

    private OpenedPacket drop(DropReason why) {
        dropped.merge(why, 1L, Long::sum);
        return null;
    }

    /** Each number of a run once, and none of a run before the one known. */
    private boolean fresh(String sender, long run, long number) {
        Seen s = seen.get(sender);
        if (s == null || run > s.boot) {
            s = new Seen(run);
            seen.put(sender, s);
        }
        if (run < s.boot || number <= s.newest - WINDOW || number <= 0) {
            return false;
        }
        if (number > s.newest) {
            long by = number - s.newest;
            s.bits = by >= WINDOW ? 0 : s.bits << by;
            s.newest = number;
        }
        long bit = 1L << (s.newest - number);
        boolean before = (s.bits & bit) != 0;
        s.bits |= bit;
        return !before;
    }

    private static void text(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > 1024) {
            throw new IllegalArgumentException("longer than 1024 bytes: " + text.substring(0, 40));
        }
        out.putShort((short) bytes.length).put(bytes);
    }

    private static String text(ByteBuffer in) {
        int length = in.getShort();
        if (length < 0 || length > 1024) {
            throw new IllegalArgumentException("a text of " + length);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
