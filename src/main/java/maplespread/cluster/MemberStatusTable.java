package maplespread.cluster;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import maplespread.metrics.Metrics.Totals;

/** The newest status of each member, and this one's own, which is told about twice a second. */
public final class MemberStatusTable {
    private static final int MOST_A_ROUND = 64; // are told at once; then the next ones
    private static final int WINDOW = 20; // rounds that a status looks back on
    private static final int MOST_HELD = 4096;

    /** As it was heard, at a time of this process's own clock. */
    public record ReceivedStatus(MemberStatus status, long receivedAtMs) {}

    private final long run;
    private final String version;
    private final String zone;
    private final BiConsumer<String, byte[]> send;
    private final Map<String, ReceivedStatus> newest = new ConcurrentHashMap<>();
    private final Deque<Totals> window = new ArrayDeque<>();
    private long number;
    private int next; // of the others, whose turn it is

    /** {@code send}: to a member by name. */
    public MemberStatusTable(long run, String version, String zone, BiConsumer<String, byte[]> send) {
        this.run = run;
        this.version = version;
        this.zone = zone;
        this.send = send;
    }

    /** Of these seconds: the totals now against those of the first look in the window. */
    private MemberStatus own(MemberStatus.Phase phase, Totals now) {
        window.addLast(now);
        if (window.size() > WINDOW) {
            window.removeFirst();
        }
        Totals then = window.getFirst();
        long served = now.served() - then.served();
        long busy = now.busy() - then.busy();
        long failed = now.failed() - then.failed();
        long all = served + busy + failed;
        return new MemberStatus(
                run,
                ++number,
                version,
                zone,
                phase,
                all == 0 ? 0 : (double) busy / all,
                all == 0 ? 0 : (double) failed / all,
                served == 0 ? 0 : Math.max(0, now.servedNanos() - then.servedNanos()) / 1e6 / served,
                all);
    }

    /** Tells the others; from one thread. {@code name}: this one's, under which its own word is kept too. */
    public void broadcast(String name, MemberStatus.Phase phase, Totals now, List<String> others, long atMs) {
        MemberStatus mine = own(phase, now);
        newest.put(name, new ReceivedStatus(mine, atMs));
        byte[] bytes = mine.encode();
        for (int i = 0; i < Math.min(MOST_A_ROUND, others.size()); i++) {
            send.accept(others.get(next++ % others.size()), bytes);
        }
        next %= Math.max(1, others.size());
    }

    /** Takes another's word; one that is older than what is known, or unreadable, is passed over. */
    public void receive(String from, byte[] payload, long atMs) {
        MemberStatus status = MemberStatus.decode(payload).orElse(null);
        if (status == null || newest.size() >= MOST_HELD && !newest.containsKey(from)) {
            return;
        }
        newest.merge(
                from,
                new ReceivedStatus(status, atMs),
                (was, now) -> now.status().isNewerThan(was.status()) ? now : was);
    }

    public Optional<ReceivedStatus> find(String member) {
        return Optional.ofNullable(newest.get(member));
    }

    /** Forgets all but these. */
    public void retainMembers(Collection<String> members) {
        newest.keySet().retainAll(members);
    }
}
