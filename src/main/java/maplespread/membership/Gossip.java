package maplespread.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** News that rides on other messages: the least told first, each as often as the group's size asks for. */
final class Gossip {
    private static final int UPDATE_BYTES = 40; // beside the names and addresses

    private static final class News {
        final Update update;
        final long order;
        int told;

        News(Update update, long order) {
            this.update = update;
            this.order = order;
        }
    }

    private final Map<String, News> byName = new HashMap<>();
    private long order;

    /** Newer news of a member takes the place of older. */
    void add(Update update) {
        byName.put(update.name(), new News(update, ++order));
    }

    static int bytes(Update u) {
        return UPDATE_BYTES + 2 * (u.name().length() + u.address().length() + u.by().length());
    }

    /**
     * What fits into so many bytes, counted as told, after what goes in any case: the sender itself, and
     * what is thought of the one it is sent to (Lifeguard's buddy system: the sooner that knows it is
     * suspected, the sooner it can refute it).
     */
    List<Update> take(List<Update> first, int bytes, int most) {
        List<Update> taken = new ArrayList<>(first);
        int left = bytes - first.stream().mapToInt(Gossip::bytes).sum();
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
