package maplespread.announce;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import maplespread.announce.BgpMessage.Keepalive;
import maplespread.announce.BgpMessage.Notification;
import maplespread.announce.BgpMessage.Open;
import maplespread.announce.BgpMessage.Prefix;
import maplespread.announce.BgpMessage.Update;

/**
 * BGP-4 messages as bytes (RFC 4271 section 4), with four-octet system numbers (RFC 6793). Takes bytes in
 * as they come and holds no more than one message.
 */
public final class BgpCodec {
    static final int MOST = 4096, HEAD = 19;
    private static final int OPEN = 1, UPDATE = 2, NOTIFICATION = 3, KEEPALIVE = 4;
    private static final int AS_TRANS = 23456;
    private static final int ORIGIN = 1, AS_PATH = 2, NEXT_HOP = 3, LOCAL_PREF = 5;

    private final ByteBuffer in = ByteBuffer.allocate(MOST);

    // ------------------------------------------------------------ writing

    public static byte[] bytes(BgpMessage m) {
        ByteBuffer out = ByteBuffer.allocate(MOST);
        for (int i = 0; i < 16; i++) {
            out.put((byte) 0xff);
        }
        out.putShort((short) 0).put((byte) type(m));
        if (m instanceof Open open) {
            out.put((byte) 4)
                    .putShort((short) (open.as() > 0xffff ? AS_TRANS : open.as()))
                    .putShort((short) open.holdS())
                    .putInt(open.id());
            // Capabilities: IPv4 unicast (RFC 4760) and four-octet numbers.
            out.put((byte) 14)
                    .put((byte) 2)
                    .put((byte) 12)
                    .put(new byte[] {1, 4, 0, 1, 0, 1, 65, 4})
                    .putInt((int) open.as());
        } else if (m instanceof Update u) {
            out.putShort((short) size(u.withdrawn()));
            u.withdrawn().forEach(p -> put(out, p));
            if (u.announced().isEmpty()) {
                out.putShort((short) 0);
            } else {
                out.putShort((short) (4 + 3 + 7 + 7));
                out.put(new byte[] {0x40, ORIGIN, 1, 0}).put(new byte[] {0x40, AS_PATH, 0});
                out.put(new byte[] {0x40, NEXT_HOP, 4}).putInt(u.nextHop());
                out.put(new byte[] {0x40, LOCAL_PREF, 4}).putInt((int) u.localPref());
                u.announced().forEach(p -> put(out, p));
            }
        } else if (m instanceof Notification n) {
            out.put((byte) n.code()).put((byte) n.subcode());
        }
        out.putShort(16, (short) out.position());
        return java.util.Arrays.copyOf(out.array(), out.position());
    }

    private static int type(BgpMessage m) {
        return m instanceof Open
                ? OPEN
                : m instanceof Update ? UPDATE : m instanceof Notification ? NOTIFICATION : KEEPALIVE;
    }

    private static int size(List<Prefix> all) {
        return all.stream().mapToInt(p -> 1 + (p.length() + 7) / 8).sum();
    }

    private static void put(ByteBuffer out, Prefix p) {
        out.put((byte) p.length());
        for (int i = 0; i < (p.length() + 7) / 8; i++) {
            out.put((byte) (p.address() >>> 24 - 8 * i));
        }
    }

    // ------------------------------------------------------------ reading

    /** Takes bytes in; the messages that are whole by now, in order. */
    public List<BgpMessage> feed(byte[] bytes, int length) throws BgpException {
        List<BgpMessage> all = new ArrayList<>();
        int at = 0;
        while (at < length) {
            int want = in.position() < HEAD ? HEAD : Short.toUnsignedInt(in.getShort(16));
            int take = Math.min(want - in.position(), length - at);
            in.put(bytes, at, take);
            at += take;
            if (in.position() == HEAD && want == HEAD) {
                head();
                want = Short.toUnsignedInt(in.getShort(16));
            }
            if (in.position() == want && want >= HEAD && in.position() >= HEAD) {
                ByteBuffer whole = in.duplicate();
                whole.flip().position(HEAD);
                int type = in.get(18);
                in.clear();
                all.add(read(type, whole));
            }
        }
        return all;
    }

    private void head() throws BgpException {
        for (int i = 0; i < 16; i++) {
            if (in.get(i) != (byte) 0xff) {
                throw new BgpException(1, 1, "no marker");
            }
        }
        int length = Short.toUnsignedInt(in.getShort(16));
        int type = in.get(18);
        if (type < OPEN || type > KEEPALIVE) {
            throw new BgpException(1, 3, "a message of type " + type);
        }
        int least = type == OPEN ? 29 : type == UPDATE ? 23 : type == NOTIFICATION ? 21 : HEAD;
        if (length < least || length > MOST || type == KEEPALIVE && length != HEAD) {
            throw new BgpException(1, 2, "a message of " + length + " bytes");
        }
    }

    private static BgpMessage read(int type, ByteBuffer in) throws BgpException {
        try {
            return switch (type) {
                case OPEN -> open(in);
                case UPDATE -> update(in);
                case NOTIFICATION -> new Notification(in.get() & 255, in.get() & 255);
                default -> new Keepalive();
            };
        } catch (java.nio.BufferUnderflowException | IllegalArgumentException e) {
            throw type == OPEN
                    ? new BgpException(2, 0, "an OPEN that ends early")
                    : new BgpException(3, 1, "malformed attributes or prefixes");
        }
    }

    private static Open open(ByteBuffer in) throws BgpException {
        if (in.get() != 4) {
            throw new BgpException(2, 1, "not version 4");
        }
        long as = Short.toUnsignedInt(in.getShort());
        int hold = Short.toUnsignedInt(in.getShort());
        int id = in.getInt();
        if (hold == 1 || hold == 2) {
            throw new BgpException(2, 6, "a hold time of " + hold + " s");
        }
        if (id == 0) {
            throw new BgpException(2, 3, "an identifier of zero");
        }
        ByteBuffer parameters = part(in, in.get() & 255);
        while (parameters.hasRemaining()) {
            int kind = parameters.get() & 255;
            ByteBuffer value = part(parameters, parameters.get() & 255);
            while (kind == 2 && value.hasRemaining()) { // capabilities; others are passed over
                int code = value.get() & 255;
                ByteBuffer capability = part(value, value.get() & 255);
                as = code == 65 ? Integer.toUnsignedLong(capability.getInt()) : as;
            }
        }
        return new Open(as, hold, id);
    }

    private static ByteBuffer part(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new IllegalArgumentException("longer than what holds it");
        }
        ByteBuffer part = in.slice(in.position(), length);
        in.position(in.position() + length);
        return part;
    }

    private static Update update(ByteBuffer in) throws BgpException {
        List<Prefix> withdrawn = prefixes(part(in, Short.toUnsignedInt(in.getShort())));
        ByteBuffer attributes = part(in, Short.toUnsignedInt(in.getShort()));
        List<Prefix> announced = prefixes(in);
        int nextHop = 0;
        long preference = 100;
        boolean known = false;
        while (attributes.hasRemaining()) {
            int flags = attributes.get();
            int kind = attributes.get() & 255;
            ByteBuffer value = part(
                    attributes,
                    (flags & 0x10) != 0 ? Short.toUnsignedInt(attributes.getShort()) : attributes.get() & 255);
            if (kind == NEXT_HOP) {
                nextHop = value.getInt();
                known = true;
            } else if (kind == LOCAL_PREF) {
                preference = Integer.toUnsignedLong(value.getInt());
            }
        }
        if (!announced.isEmpty() && !known) {
            throw new BgpException(3, 3, "no next hop");
        }
        return new Update(withdrawn, announced, nextHop, preference);
    }

    private static List<Prefix> prefixes(ByteBuffer in) {
        List<Prefix> all = new ArrayList<>();
        while (in.hasRemaining()) {
            int length = in.get() & 255;
            int address = 0;
            for (int i = 0; i < (length + 7) / 8; i++) {
                address |= (in.get() & 255) << Math.max(0, 24 - 8 * i);
            }
            all.add(new Prefix(address, length));
        }
        return all;
    }
}
