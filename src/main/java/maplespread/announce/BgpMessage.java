package maplespread.announce;

import java.util.List;

/** BGP-4's four messages, as far as one IPv4 unicast prefix needs them. */
public sealed interface BgpMessage {
    /** An IPv4 prefix: its address as a number, and its length in bits, 0 to 32. */
    record Prefix(int address, int length) {
        public Prefix {
            if (length < 0 || length > 32) {
                throw new IllegalArgumentException("a prefix has 0 to 32 bits");
            }
            address = length == 0 ? 0 : address & -1 << 32 - length;
        }

        /** Of the form 192.0.2.10/32. */
        public static Prefix of(String text) {
            int slash = text.indexOf('/');
            return new Prefix(
                    address(slash < 0 ? text : text.substring(0, slash)),
                    slash < 0 ? 32 : Integer.parseInt(text.substring(slash + 1)));
        }

        /** A dotted address as a number. */
        public static int address(String text) {
            String[] parts = text.split("\\.", -1);
            int all = 0;
            if (parts.length != 4) {
                throw new IllegalArgumentException("not an IPv4 address: " + text);
            }
            for (String part : parts) {
                int v = part.matches("[0-9]{1,3}") ? Integer.parseInt(part) : 256;
                if (v > 255) {
                    throw new IllegalArgumentException("not an IPv4 address: " + text);
                }
                all = all << 8 | v;
            }
            return all;
        }
    }

    /**
     * {@code as}: the system's number; {@code holdS}: seconds, 0 or at least 3; {@code id}: an IPv4
     * address.
     */
    record Open(long as, int holdS, int id) implements BgpMessage {}

    record Keepalive() implements BgpMessage {}

    /**
     * {@code nextHop} and {@code localPref} count where anything is announced; the preference is unsigned.
     */
    record Update(List<Prefix> withdrawn, List<Prefix> announced, int nextHop, long localPref) implements BgpMessage {
        public Update {
            withdrawn = List.copyOf(withdrawn);
            announced = List.copyOf(announced);
        }
    }

    record Notification(int code, int subcode) implements BgpMessage {}
}
