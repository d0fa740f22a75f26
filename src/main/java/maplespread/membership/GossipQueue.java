package maplespread.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are sent along with other messages: those sent least often first, each as often as the size of the group
 * asks for.
 */
final class GossipQueue {
    /** Bytes of an update beside its texts, rounded up. */
    private static final int UPDATE_BYTES = 40;

    /** Rounded up: names and addresses are nearly always ASCII. */
    private static final int BYTES_PER_CHAR = 2;

    private static final class QueuedUpdate {
        private final MemberUpdate update;
        private final long order;
        private int transmissions;

        QueuedUpdate(MemberUpdate update, long order) {
            this.update = update;
            this.order = order;
        }
    }

    private static final Comparator<QueuedUpdate> LEAST_SENT_THEN_NEWEST = Comparator.comparingInt(
                    (QueuedUpdate queued) -> queued.transmissions)
            .thenComparing(queued -> -queued.order);

    private final Map<String, QueuedUpdate> byName = new HashMap<>();
    private long lastOrder;

    /** Queues an update in place of an earlier one of the same member. */
    void add(MemberUpdate update) {
        byName.put(update.name(), new QueuedUpdate(update, ++lastOrder));
    }

    /** About how many bytes an update takes in a packet. */
    static int bytes(MemberUpdate update) {
        int chars = update.name().length()
                + update.address().length()
                + update.suspectedBy().length();
        return UPDATE_BYTES + BYTES_PER_CHAR * chars;
    }

    /**
     * The updates for one message, which count as sent.
     *
     * @param first sent in any case, and not counted
     * @param maxBytes of all updates together
     * @param maxTransmissions after which an update is dropped from the queue
     */
    List<MemberUpdate> take(List<MemberUpdate> first, int maxBytes, int maxTransmissions) {
        List<MemberUpdate> taken = new ArrayList<>(first);
        int left = maxBytes - first.stream().mapToInt(GossipQueue::bytes).sum();
        List<QueuedUpdate> sorted = new ArrayList<>(byName.values());
        sorted.sort(LEAST_SENT_THEN_NEWEST);
        for (QueuedUpdate queued : sorted) {
            if (first.contains(queued.update)) {
                continue;
            }
            int size = bytes(queued.update);
            if (size > left) {
                break;
            }
            left -= size;
            taken.add(queued.update);
            queued.transmissions++;
            if (queued.transmissions >= maxTransmissions) {
                byName.remove(queued.update.name());
            }
        }
        return taken;
    }
}
