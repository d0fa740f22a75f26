package maplespread.announce;

/** Numbers of the message format that its writer and its reader share (RFC 4271 section 4). */
final class BgpFormat {
    static final int MAX_MESSAGE_BYTES = 4096;

    /** All bits set, in front of each message. */
    static final int MARKER_BYTES = 16;

    static final byte MARKER = (byte) 0xff;

    /** The marker, the length and the type. */
    static final int HEADER_BYTES = MARKER_BYTES + Short.BYTES + 1;

    static final int LENGTH_POSITION = MARKER_BYTES;
    static final int TYPE_POSITION = MARKER_BYTES + Short.BYTES;

    static final int TYPE_OPEN = 1;
    static final int TYPE_UPDATE = 2;
    static final int TYPE_NOTIFICATION = 3;
    static final int TYPE_KEEPALIVE = 4;

    static final int VERSION = 4;

    /** Stands for a system number that has more than two bytes (RFC 6793). */
    static final int AS_TRANS = 23456;

    static final int PARAMETER_CAPABILITIES = 2;
    static final int CAPABILITY_MULTIPROTOCOL = 1;
    static final int CAPABILITY_FOUR_OCTET_AS = 65;

    static final int ATTRIBUTE_ORIGIN = 1;
    static final int ATTRIBUTE_AS_PATH = 2;
    static final int ATTRIBUTE_NEXT_HOP = 3;
    static final int ATTRIBUTE_LOCAL_PREFERENCE = 5;

    /** An attribute that every speaker must understand. */
    static final int FLAG_WELL_KNOWN = 0x40;

    /** An attribute whose length takes two bytes. */
    static final int FLAG_EXTENDED_LENGTH = 0x10;

    private BgpFormat() {}
}
