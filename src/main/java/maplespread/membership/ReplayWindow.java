package maplespread.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which packet numbers of each sender were received: each number of an incarnation counts once, and none counts of an
 * incarnation before the newest known.
 */
final class ReplayWindow {
    /** Packets that may come out of order, counted back from the newest number. */
    private static final int WINDOW_PACKETS = Long.SIZE;

    /** Only holders of a key can add a sender. */
    private static final int MAX_SENDERS = 4096;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /** The numbers received of one incarnation of a sender: a bit for each of the window, the newest one lowest. */
    private static final class Sender {
        private final long incarnation;
        private long newest;
        private long received;

        Sender(long incarnation) {
            this.incarnation = incarnation;
        }

        boolean isBeforeWindow(long number) {
            return number <= newest - WINDOW_PACKETS;
        }

        /** Whether the number is received for the first time. */
        boolean add(long number) {
            if (number > newest) {
                long added = number - newest;
                received = added >= WINDOW_PACKETS ? 0 : received << added;
                newest = number;
            }
            long bit = 1L << (newest - number);
            boolean first = (received & bit) == 0;
            received |= bit;
            return first;
        }
    }

    private final Map<String, Sender> senders = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Sender> eldest) {
            return size() > MAX_SENDERS;
        }
    };

    /** Whether the packet was not received before; if so, remembers it. Numbers begin with 1. */
    boolean add(String sender, long incarnation, long number) {
        Sender known = senders.get(sender);
        if (known == null || incarnation > known.incarnation) {
            known = new Sender(incarnation);
            senders.put(sender, known);
        }
        if (incarnation < known.incarnation || number <= 0 || known.isBeforeWindow(number)) {
            return false;
        }
        return known.add(number);
    }
}
