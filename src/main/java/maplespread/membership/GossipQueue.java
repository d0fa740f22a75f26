package maplespread.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** News that rides on other messages: the least told first, each as often as the group's size asks for. */
final class GossipQueue {
    private static final int UPDATE_BYTES = 40; // beside the names and addresses

    private static final class News {
        final MemberUpdate update;
        final long order;
        int told;

        News(MemberUpdate update, long order) {
            this.update = update;
            this.order = order;
        }
    }

    private final Map<String, News> byName = new HashMap<>();
    private long order;

    /** Newer news of a member takes the place of older. */
    void add(MemberUpdate update) {
        byName.put(update.name(), new News(update, ++order));
    }

    static int bytes(MemberUpdate u) {
        return UPDATE_BYTES
                + 2
                        * (u.name().length()
                                + u.address().length()
                                + u.suspectedBy().length());
    }

    /**
     * What fits into so many bytes, counted as told, after what goes in any case: the sender itself, and
     * what is thought of the one it is sent to (Lifeguard's buddy system: the sooner that knows it is
     * suspected, the sooner it can refute it).
     */
    List<MemberUpdate> take(List<MemberUpdate> first, int bytes, int most) {
        List<MemberUpdate> taken = new ArrayList<>(first);
        int left = bytes - first.stream().mapToInt(GossipQueue::bytes).sum();
        List<News> all = new ArrayList<>(byName.values());
        all.sort(Comparator.comparingInt((News n) -> n.told).thenComparing(n -> -n.order));
        for (News n : all) {
            if (first.contains(n.update)) {
                continue;
            }
            int size = bytes(n.update);
            if (size > left) {
                break;
            }
            left -= size;
            taken.add(n.update);
            if (++n.told >= most) {
                byName.remove(n.update.name());
            }
        }
        return taken;
    }
}
