package maplespread.lab.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A key-value store with a revision for each change, the past up to a compaction, and leases. Its own monitor
 * guards it and wakes those that wait for a change. Time is passed in, so that a virtual clock will do.
 */
public final class Store {
    /** A key at one of its changes; a null value: deleted. */
    public record Version(String key, String value, long created, long mod, long count, long lease) {}

    /** What a past or future revision that cannot be had is answered with. */
    public static final class Gone extends Exception {
        private static final long serialVersionUID = 1;
        public final boolean compacted;

        Gone(boolean compacted) {
            super(
                    compacted
                            ? "etcdserver: mvcc: required revision has been compacted"
                            : "etcdserver: mvcc: required revision is a future revision",
                    null,
                    false,
                    false);
            this.compacted = compacted;
        }
    }

    /** A state to be restored later, as a backup is. */
    public static final class Backup {
        private final long revision;
        private final Map<String, Version> keys;

        private Backup(long revision, Map<String, Version> keys) {
            this.revision = revision;
            this.keys = keys;
        }
    }

    private static final class Lease {
        final long ttlMs;
        final TreeSet<String> keys = new TreeSet<>();
        long endsAt;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
        }
    }

    private final TreeMap<String, List<Version>> keys = new TreeMap<>();
    private final List<List<Version>> log = new ArrayList<>(); // by revision, from logFrom on
    private final Map<Long, Lease> leases = new HashMap<>();
    private long logFrom = 2;
    private long revision = 1;
    private long compacted;
    private long lastLease = 7000;
    private long cluster = 1000;
    private long term = 2;
    private long keep = Long.MAX_VALUE;

    public synchronized long revision() {
        return revision;
    }

    public synchronized long compacted() {
        return compacted;
    }

    public synchronized String cluster() {
        return Long.toUnsignedString(cluster);
    }

    public synchronized long term() {
        return term;
    }

    /** Only the last so many revisions are kept from now on. */
    public synchronized void keepLast(long revisions) {
        keep = revisions;
    }

    /** The key's value; null where it is not there. */
    public synchronized Version get(String key) {
        List<Version> all = keys.get(key);
        Version v = all == null ? null : all.get(all.size() - 1);
        return v == null || v.value() == null ? null : v;
    }

    public synchronized long put(String key, String value) {
        return put(key, value, 0);
    }

    /** Lease 0: none. An unknown lease is an error, as with etcd. */
    public synchronized long put(String key, String value, long lease) {
        if (lease != 0 && !leases.containsKey(lease)) {
            throw new IllegalStateException("etcdserver: requested lease not found");
        }
        Map<String, String> one = new HashMap<>();
        one.put(key, value);
        return change(one, lease);
    }

    /** Whether there was anything to be deleted. */
    public synchronized boolean delete(String key) {
        if (get(key) == null) {
            return false;
        }
        put(key, null, 0);
        return true;
    }

    /** Several keys at one revision; a null value deletes. Keys that are not there stay so. */
    public synchronized long change(Map<String, String> changes, long lease) {
        List<Version> made = new ArrayList<>();
        new TreeMap<>(changes).forEach((key, value) -> {
            Version before = get(key);
            if (value == null && before == null) {
                return;
            }
            if (before != null && before.lease() != 0 && leases.containsKey(before.lease())) {
                leases.get(before.lease()).keys.remove(key);
            }
            boolean anew = before == null;
            made.add(new Version(
                    key,
                    value,
                    anew ? revision + 1 : before.created(),
                    revision + 1,
                    anew ? 1 : before.count() + 1,
                    value == null ? 0 : lease));
        });
        if (made.isEmpty()) {
            return revision;
        }
        revision++;
        for (Version v : made) {
            keys.computeIfAbsent(v.key(), k -> new ArrayList<>(2)).add(v);
            if (v.lease() != 0) {
                leases.get(v.lease()).keys.add(v.key());
            }
        }
        log.add(made);
        if (keep < Long.MAX_VALUE && revision - compacted > 2 * keep) {
            compact(revision - keep);
        }
        notifyAll();
        return revision;
    }

    /**
     * The keys from {@code from} up to but not including {@code to} (null: all behind), as they stood at the
     * revision (0: now).
     */
    public synchronized List<Version> range(String from, String to, long at, long limit) throws Gone {
        if (at > revision) {
            throw new Gone(false);
        }
        if (at > 0 && at < compacted) {
            throw new Gone(true);
        }
        List<Version> found = new ArrayList<>();
        for (List<Version> all : (to == null ? keys.tailMap(from) : keys.subMap(from, to)).values()) {
            Version v = null;
            for (int i = all.size() - 1; i >= 0 && v == null; i--) {
                v = at == 0 || all.get(i).mod() <= at ? all.get(i) : null;
            }
            if (v != null && v.value() != null) {
                found.add(v);
                if (found.size() >= limit) {
                    break;
                }
            }
        }
        return found;
    }

    /** The changes of one revision; the caller has seen that it is neither compacted nor to come. */
    public synchronized List<Version> changesOf(long at) throws Gone {
        if (at < compacted || at < logFrom) {
            throw new Gone(true);
        }
        return log.get((int) (at - logFrom));
    }

    /** The last revision that touched a key with this prefix, deletions too; 1 where none has. */
    public synchronized long index(String prefix) {
        long last = 1;
        for (Map.Entry<String, List<Version>> e : keys.tailMap(prefix).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            last = Math.max(last, e.getValue().get(e.getValue().size() - 1).mod());
        }
        return last;
    }

    /** Forgets the past before the revision. */
    public synchronized void compact(long at) {
        if (at <= compacted || at > revision) {
            return;
        }
        while (logFrom < at && !log.isEmpty()) {
            for (Version old : log.get(0)) {
                trim(old.key(), at);
            }
            log.remove(0);
            logFrom++;
        }
        compacted = at;
        notifyAll();
    }

    private void trim(String key, long at) {
        List<Version> all = keys.get(key);
        if (all == null) {
            return;
        }
        while (all.size() > 1 && all.get(1).mod() <= at) {
            all.remove(0);
        }
    }

    // ------------------------------------------------------------ leases

    public synchronized long grant(long ttlMs, long now) {
        Lease lease = new Lease(ttlMs);
        lease.endsAt = now + ttlMs;
        leases.put(++lastLease, lease);
        return lastLease;
    }

    /** The lease's length in milliseconds; 0 where it has ended. */
    public synchronized long keepAlive(long id, long now) {
        expire(now);
        Lease lease = leases.get(id);
        if (lease == null) {
            return 0;
        }
        lease.endsAt = now + lease.ttlMs;
        return lease.ttlMs;
    }

    public synchronized void revoke(long id) {
        Lease lease = leases.remove(id);
        if (lease != null) {
            deleteAll(lease);
        }
    }

    /** Ends the leases that are over, each with its keys at one revision. */
    public synchronized void expire(long now) {
        for (Long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).endsAt <= now) {
                revoke(id);
            }
        }
    }

    /** All leases end at once, as when a registry has lost them. */
    public synchronized void loseLeases() {
        List.copyOf(leases.keySet()).forEach(this::revoke);
    }

    private void deleteAll(Lease lease) {
        Map<String, String> gone = new HashMap<>();
        lease.keys.forEach(key -> gone.put(key, null));
        change(gone, 0);
    }

    // ------------------------------------------------------------ restarts

    public synchronized Backup backup() {
        Map<String, Version> now = new HashMap<>();
        for (String key : keys.keySet()) {
            if (get(key) != null) {
                now.put(key, get(key));
            }
        }
        return new Backup(revision, now);
    }

    /** Starts again with nothing, as another cluster. */
    public synchronized void wipe() {
        begin(new Backup(1, Map.of()));
        cluster++;
    }

    /** Starts again from the backup; {@code sameCluster}: under the same cluster id. */
    public synchronized void restore(Backup backup, boolean sameCluster) {
        begin(backup);
        cluster += sameCluster ? 0 : 1;
    }

    /** Starts again with its data; another member leads. */
    public synchronized void elect() {
        term++;
        notifyAll();
    }

    private void begin(Backup from) {
        keys.clear();
        log.clear();
        leases.clear();
        from.keys.forEach((key, v) -> keys.put(key, new ArrayList<>(List.of(v))));
        revision = from.revision;
        compacted = revision;
        logFrom = revision + 1;
        term = 2; // as in a cluster that has just begun
        notifyAll();
    }
}
