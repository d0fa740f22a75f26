package maplespread.caller;

import com.carrotsearch.hppc.LongHashSet;
import com.carrotsearch.hppc.cursors.LongCursor;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The ids of the requests in flight and of recently completed requests. A second request with the same id may come from
 * another client: it must not reach a worker, and its sender must not receive the result of the first. Clients generate
 * a new id for every request, including retries. While another process of this dispatcher runs, ids are also claimed in
 * a set that the processes share. Thread-safe.
 *
 * <p>An id is kept as a 64-bit hash, in one of two sets: the newer one takes new ids, and replaces the older one after a
 * period. So an id is kept for at least one period, and memory is bounded: a full set takes no more ids, and forgets none.
 */
public final class RecentRequestIds {
    /** The result of a registration. */
    enum Registration {
        REGISTERED,
        /** The id was used before. */
        USED,
        /** Whether the id was used before cannot be known, or cannot be recorded, at present. */
        UNAVAILABLE
    }

    /** Maximum number of ids in a set. */
    static final int MAX_IDS = 96_000;

    /** Time in milliseconds by which a request may complete later than its deadline. */
    private static final long COMPLETION_MARGIN_MS = 2000;

    private static final long NANOS_PER_MS = 1_000_000;

    private final LongSupplier retentionMs;
    private final LongSupplier nanoTime;
    /** Keeps clients from choosing ids whose hashes share their places in a set. */
    private final long salt = new SecureRandom().nextLong();
    /** The salted hashes of the newer ids. */
    private LongHashSet newer = new LongHashSet();
    /** The salted hashes of the older ids. */
    private LongHashSet older = new LongHashSet();

    private long newerSinceNanos;
    /** The set shared with other processes; null while this process shares none. */
    private SharedRequestIds shared;
    /** Whether another process may use ids that this process cannot know of. */
    private boolean otherIdsUnknown;

    /**
     * Creates an empty set of ids.
     *
     * @param retentionMs the longest deadline in milliseconds: how long a request is in flight at most, and how long its
     *     id is kept after that at least
     */
    public RecentRequestIds(LongSupplier retentionMs) {
        this(retentionMs, System::nanoTime);
    }

    RecentRequestIds(LongSupplier retentionMs, LongSupplier nanoTime) {
        this.retentionMs = retentionMs;
        this.nanoTime = nanoTime;
        newerSinceNanos = nanoTime.getAsLong();
    }

    /** Returns how long an id is kept at least, in milliseconds: while in flight, and for the retention after that. */
    public long periodMs() {
        return 2 * retentionMs.getAsLong() + COMPLETION_MARGIN_MS;
    }

    /**
     * Registers the id of a request.
     *
     * @param mayRunTwice whether it does no harm if another process runs a request with the same id
     */
    synchronized Registration register(String id, boolean mayRunTwice) {
        if (otherIdsUnknown && !mayRunTwice) {
            return Registration.UNAVAILABLE;
        }
        long hash = hash(id);
        long salted = hash ^ salt;
        if (newer.contains(salted) || older.contains(salted)) {
            return Registration.USED;
        }
        if (newer.size() >= MAX_IDS) {
            return Registration.UNAVAILABLE;
        }
        SharedRequestIds.Claim claim = shared == null ? SharedRequestIds.Claim.CLAIMED : shared.claim(hash);
        if (claim == SharedRequestIds.Claim.CLAIMED) {
            newer.add(salted);
            return Registration.REGISTERED;
        }
        return claim == SharedRequestIds.Claim.USED ? Registration.USED : Registration.UNAVAILABLE;
    }

    /** Removes the id of a request that was not accepted, so that the client may use the id again. */
    synchronized void unregister(String id) {
        long hash = hash(id);
        newer.remove(hash ^ salt);
        older.remove(hash ^ salt);
        if (shared != null) {
            shared.release(hash);
        }
    }

    /** Forgets the ids that are older than a period. */
    synchronized void removeExpired() {
        long nowNanos = nanoTime.getAsLong();
        if (nowNanos - newerSinceNanos >= periodMs() * NANOS_PER_MS) {
            older = newer;
            newer = new LongHashSet();
            newerSinceNanos = nowNanos;
        }
    }

    /**
     * Claims all ids, those of requests that have completed too, in the set that the processes share, and from now on
     * each id at its registration.
     *
     * @return false if the set has no room for them; nothing is shared then
     */
    public synchronized boolean shareWith(SharedRequestIds ids) {
        for (LongHashSet hashes : List.of(newer, older)) {
            for (LongCursor salted : hashes) {
                if (ids.claim(salted.value ^ salt) == SharedRequestIds.Claim.UNAVAILABLE) {
                    return false;
                }
            }
        }
        shared = ids;
        return true;
    }

    /** Stops claiming ids in the shared set: no other process has run for as long as an id is kept. */
    public synchronized void stopSharing() {
        shared = null;
    }

    /** Sets whether another process may use ids that this process cannot know of. */
    public synchronized void setOtherIdsUnknown(boolean unknown) {
        otherIdsUnknown = unknown;
    }

    /** A hash for which nobody can find an id that has the hash of a given one. */
    private static long hash(String id) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(id.getBytes(StandardCharsets.ISO_8859_1));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
