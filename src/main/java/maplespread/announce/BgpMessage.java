package maplespread.announce;

import java.util.List;

/** The four messages of BGP-4 (RFC 4271 section 4), as far as one IPv4 unicast prefix needs them. */
public sealed interface BgpMessage {
    /**
     * An IPv4 prefix.
     *
     * @param address the dotted address as a number; bits beyond the length are cleared
     * @param length in bits, 0 to 32
     */
    record Prefix(int address, int length) {
        /** Bits of an IPv4 address. */
        static final int MAX_LENGTH = 32;

        private static final int OCTETS = 4;
        private static final int MAX_OCTET = 255;

        /**
         * Clears the bits beyond the length.
         *
         * @throws IllegalArgumentException if the length is not within 0 to 32
         */
        public Prefix {
            if (length < 0 || length > MAX_LENGTH) {
                throw new IllegalArgumentException("a prefix has 0 to 32 bits");
            }
            address = length == 0 ? 0 : address & -1 << MAX_LENGTH - length;
        }

        /** How many bytes the address takes in a message. */
        int addressBytes() {
            return (length + Byte.SIZE - 1) / Byte.SIZE;
        }

        /**
         * Parses the form 192.0.2.10/32; without a length it is 32.
         *
         * @throws IllegalArgumentException if the text is no prefix
         */
        public static Prefix of(String text) {
            int slash = text.indexOf('/');
            if (slash < 0) {
                return new Prefix(address(text), MAX_LENGTH);
            }
            return new Prefix(address(text.substring(0, slash)), Integer.parseInt(text.substring(slash + 1)));
        }

        /**
         * Parses a dotted address into a number.
         *
         * @throws IllegalArgumentException if the text is no IPv4 address
         */
        public static int address(String text) {
            String[] octets = text.split("\\.", -1);
            if (octets.length != OCTETS) {
                throw new IllegalArgumentException("not an IPv4 address: " + text);
            }
            int address = 0;
            for (String octet : octets) {
                int value = octet.matches("[0-9]{1,3}") ? Integer.parseInt(octet) : MAX_OCTET + 1;
                if (value > MAX_OCTET) {
                    throw new IllegalArgumentException("not an IPv4 address: " + text);
                }
                address = address << Byte.SIZE | value;
            }
            return address;
        }
    }

    /**
     * Begins a session.
     *
     * @param asNumber the number of the sender's autonomous system
     * @param holdSeconds after which a silent peer is given up; 0: never, else at least 3
     * @param identifier an IPv4 address as a number
     */
    record Open(long asNumber, int holdSeconds, int identifier) implements BgpMessage {}

    /** Says that the sender is there. */
    record Keepalive() implements BgpMessage {}

    /**
     * Changes what the sender announces.
     *
     * @param withdrawn prefixes that are announced no longer
     * @param announced prefixes that are announced from now on
     * @param nextHop where packets for them go, an IPv4 address as a number; counts where anything is announced
     * @param localPreference of the announcement, 32 bits unsigned; the highest one wins; counts as the next hop does
     */
    record Update(List<Prefix> withdrawn, List<Prefix> announced, int nextHop, long localPreference)
            implements BgpMessage {
        /** Copies the lists. */
        public Update {
            withdrawn = List.copyOf(withdrawn);
            announced = List.copyOf(announced);
        }
    }

    /**
     * Ends a session.
     *
     * @param code of the error
     * @param subcode of the error; 0: unspecific
     */
    record Notification(int code, int subcode) implements BgpMessage {}
}
