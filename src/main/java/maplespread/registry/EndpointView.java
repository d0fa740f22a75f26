package maplespread.registry;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;

/**
 * The workers by what the registry holds, by key and by worker, and what the dispatcher has been told of them. A
 * change costs what it touches, not the fleet. Several watchers, each with targets of its own, may share a view;
 * whoever shares it guards it.
 *
 * <p>Several keys may claim one worker. The claim with the latest start counts; of equal ones, one that drains;
 * then the first key. So the result depends only on what is held, not on the order in which it came.
 *
 * <p>After another history (a registry restored from a backup) drains hold, see {@link DrainMemory}, and workers
 * that the new history lacks stay for a time in which they can register anew ("orphans"): their absence may be
 * lost data.
 */
public final class EndpointView {
    /** How many workers a replacement has changed, and how. */
    public record ChangeCounts(int added, int removed, int drained, int restarted, int changed) {
        static final ChangeCounts NONE = new ChangeCounts(0, 0, 0, 0, 0);

        ChangeCounts plus(ChangeCounts other) {
            return new ChangeCounts(
                    added + other.added,
                    removed + other.removed,
                    drained + other.drained,
                    restarted + other.restarted,
                    changed + other.changed);
        }
    }

    private final EntryDecoder decoder;
    private final RegistryListener listener;
    private final long forgetAfterMs;
    private final List<Map<String, EndpointClaim>> targets = new ArrayList<>();
    private final BitSet unreadTargets = new BitSet();
    private final Map<String, List<EndpointClaim>> claimsByWorker = new HashMap<>();
    private final Map<String, Endpoint> publishedEndpoints = new LinkedHashMap<>();
    private final DrainMemory drains = new DrainMemory();
    private final Set<EndpointClaim> orphans = new LinkedHashSet<>();
    private long earliestOrphanEndMs = EndpointClaim.NOT_ORPHANED;
    private long readings;
    private long listVersion;
    private boolean published;

    /** {@code forgetAfterMs}: for how long workers absent from a restored history stay; 0: not at all. */
    public EndpointView(int targets, EntryDecoder decoder, long forgetAfterMs, RegistryListener listener) {
        this.decoder = decoder;
        this.forgetAfterMs = forgetAfterMs;
        this.listener = listener;
        for (int i = 0; i < targets; i++) {
            this.targets.add(new HashMap<>());
        }
        unreadTargets.set(0, targets);
    }

    /** Whether every target has been read whole, so that the dispatcher has been told. */
    public boolean published() {
        return published;
    }

    /** What the dispatcher has been told, by worker. */
    public Map<String, Endpoint> publishedEndpoints() {
        return Collections.unmodifiableMap(publishedEndpoints);
    }

    /** How many workers are kept though a restored registry does not know them. */
    public int orphanCount() {
        return orphans.size();
    }

    // ------------------------------------------------------------ comparing with what is held

    /** How many keys the registry is held to have in a target. */
    long entryCount(int target) {
        long orphaned = orphans.stream().filter(claim -> claim.target == target).count();
        return targets.get(target).size() - orphaned;
    }

    /** The key of a target that was changed last, the first one of equals; null where it has none. */
    String newestKey(int target) {
        EndpointClaim newest = null;
        for (EndpointClaim claim : targets.get(target).values()) {
            boolean newer = newest == null
                    || claim.revision > newest.revision
                    || claim.revision == newest.revision && claim.key.compareTo(newest.key) < 0;
            if (!claim.isOrphan() && newer) {
                newest = claim;
            }
        }
        return newest == null ? null : newest.key;
    }

    /** Whether an entry is what is held under the newest key; null: whether none is held. */
    boolean newestEntryIs(int target, RegistryEntry entry) {
        String key = newestKey(target);
        if (key == null || entry == null) {
            return key == null && entry == null;
        }
        return key.equals(entry.key()) && targets.get(target).get(key).holds(entry);
    }

    /** How many keys of a target have been deleted, where it has {@code count} now and these have changed. */
    long countDeleted(int target, List<RegistryEntry> changed, long count) {
        long added = changed.stream()
                .map(entry -> targets.get(target).get(entry.key()))
                .filter(claim -> claim == null || claim.isOrphan())
                .count();
        return entryCount(target) + added - count;
    }

    /**
     * Whether a snapshot cannot be of the history held up to {@code revision}: whether it has a key that was
     * changed before that and is not held so. The revisions alone look right where a registry was restored and
     * has come further since.
     */
    boolean contradicts(int target, Map<String, RegistryEntry> snapshot, long revision) {
        Map<String, EndpointClaim> held = targets.get(target);
        for (RegistryEntry entry : snapshot.values()) {
            EndpointClaim claim = held.get(entry.key());
            boolean contradiction;
            if (claim == null || claim.isOrphan()) {
                contradiction = entry.revision() <= revision;
            } else {
                contradiction =
                        entry.revision() < claim.revision || entry.revision() == claim.revision && !claim.holds(entry);
            }
            if (contradiction) {
                return true;
            }
        }
        return false;
    }

    // ------------------------------------------------------------ changing what is held

    /** Takes the changes of one or more whole revisions. */
    void apply(int target, List<RegistryEntry> changes, long revision) {
        Set<String> touchedWorkers = new LinkedHashSet<>();
        for (RegistryEntry entry : changes) {
            if (entry.isDeleted()) {
                remove(target, entry.key(), touchedWorkers);
            } else {
                put(target, entry, touchedWorkers);
            }
        }
        publish(touchedWorkers, revision);
    }

    /** Takes a target's full snapshot. {@code otherHistory}: by another history than the one held so far. */
    ChangeCounts replace(
            int target, Map<String, RegistryEntry> snapshot, boolean otherHistory, long revision, long nowMs) {
        Set<String> touchedWorkers = new LinkedHashSet<>();
        Map<String, EndpointClaim> held = targets.get(target);
        for (EndpointClaim claim : List.copyOf(held.values())) {
            boolean stays = snapshot.containsKey(claim.key) || claim.isOrphan() && !otherHistory;
            if (stays) {
                continue;
            }
            if (otherHistory && claim.endpoint != null && forgetAfterMs > 0) {
                orphan(claim, nowMs);
            } else {
                remove(target, claim.key, touchedWorkers);
            }
        }
        for (RegistryEntry entry : snapshot.values()) {
            EndpointClaim claim = held.get(entry.key());
            if (otherHistory || claim == null || claim.isOrphan() || !claim.holds(entry)) {
                put(target, entry, touchedWorkers);
            }
        }
        if (otherHistory) {
            drains.holdBefore(readings);
        }
        unreadTargets.clear(target);
        return publish(touchedWorkers, revision);
    }

    private void orphan(EndpointClaim claim, long nowMs) {
        if (!claim.isOrphan()) {
            claim.orphanUntilMs = nowMs + forgetAfterMs;
            orphans.add(claim);
            earliestOrphanEndMs = Math.min(earliestOrphanEndMs, claim.orphanUntilMs);
        }
    }

    /**
     * Removes a target's workers that a restored registry has not come to know in time. {@code confirmedAtMs}:
     * up to when everything that it says of the target is known; time alone does not say that nobody came back.
     */
    void releaseOrphans(int target, long confirmedAtMs) {
        if (confirmedAtMs < earliestOrphanEndMs) {
            return;
        }
        Set<String> touchedWorkers = new LinkedHashSet<>();
        earliestOrphanEndMs = EndpointClaim.NOT_ORPHANED;
        for (EndpointClaim claim : List.copyOf(orphans)) {
            if (claim.target == target && claim.orphanUntilMs <= confirmedAtMs) {
                remove(claim.target, claim.key, touchedWorkers);
            } else {
                earliestOrphanEndMs = Math.min(earliestOrphanEndMs, claim.orphanUntilMs);
            }
        }
        if (!touchedWorkers.isEmpty()) {
            listener.eventOccurred(true, "registry.forgotten", "workers", touchedWorkers.size());
            publish(touchedWorkers, listVersion);
        }
    }

    private void put(int target, RegistryEntry entry, Set<String> touchedWorkers) {
        EndpointClaim claim = targets.get(target).computeIfAbsent(entry.key(), key -> new EndpointClaim(target, key));
        claim.revision = entry.revision();
        claim.valueHash = entry.valueHash();
        if (orphans.remove(claim)) {
            claim.orphanUntilMs = EndpointClaim.NOT_ORPHANED;
        }
        Endpoint endpoint;
        try {
            endpoint = Objects.requireNonNull(decoder.decode(entry.key(), entry.value()));
        } catch (RuntimeException e) {
            // Only this change is lost: what the key said before still counts.
            listener.eventOccurred(
                    true,
                    "registry.unreadable",
                    "key",
                    entry.key(),
                    "revision",
                    entry.revision(),
                    "why",
                    e.getMessage());
            return;
        }
        if (claim.endpoint != null && !claim.endpoint.worker().equals(endpoint.worker())) {
            withdraw(claim, touchedWorkers);
        }
        if (claim.endpoint == null) {
            addClaim(endpoint.worker(), claim);
        }
        claim.endpoint = endpoint;
        claim.reading = ++readings;
        touchedWorkers.add(endpoint.worker());
    }

    private void addClaim(String worker, EndpointClaim claim) {
        List<EndpointClaim> claims = claimsByWorker.computeIfAbsent(worker, w -> new ArrayList<>(1));
        claims.add(claim);
        if (claims.size() > 1) {
            listener.eventOccurred(
                    true, "registry.claimed_twice", "worker", worker, "key", claim.key, "other", claims.get(0).key);
        }
    }

    private void remove(int target, String key, Set<String> touchedWorkers) {
        EndpointClaim claim = targets.get(target).remove(key);
        if (claim != null) {
            orphans.remove(claim);
            withdraw(claim, touchedWorkers);
        }
    }

    private void withdraw(EndpointClaim claim, Set<String> touchedWorkers) {
        if (claim.endpoint == null) {
            return;
        }
        String worker = claim.endpoint.worker();
        List<EndpointClaim> claims = claimsByWorker.get(worker);
        claims.remove(claim);
        if (claims.isEmpty()) {
            claimsByWorker.remove(worker);
        }
        claim.endpoint = null;
        touchedWorkers.add(worker);
    }

    // ------------------------------------------------------------ publishing

    /** The worker's endpoint by the claim that counts; null where nothing claims it. */
    private Endpoint effectiveEndpoint(String worker) {
        EndpointClaim best = null;
        for (EndpointClaim claim : claimsByWorker.getOrDefault(worker, List.of())) {
            if (best == null || claim.precedes(best)) {
                best = claim;
            }
        }
        if (best == null) {
            return null;
        }
        return drains.holds(worker, best.endpoint.startedAtMs(), best.reading)
                ? withState(best.endpoint, Endpoint.State.DRAINING)
                : best.endpoint;
    }

    private static Endpoint withState(Endpoint endpoint, Endpoint.State state) {
        return new Endpoint(
                endpoint.worker(),
                endpoint.address(),
                state,
                endpoint.weight(),
                endpoint.kind(),
                endpoint.cell(),
                endpoint.zone(),
                endpoint.startedAtMs());
    }

    /** Publishes what differs from what was published; nothing before all targets have been read. */
    private ChangeCounts publish(Collection<String> touchedWorkers, long revision) {
        listVersion = Math.max(listVersion, revision);
        if (!unreadTargets.isEmpty()) {
            return ChangeCounts.NONE;
        }
        ChangeCounts counts = ChangeCounts.NONE;
        List<Endpoint> changes = new ArrayList<>();
        Collection<String> workers = published ? touchedWorkers : List.copyOf(claimsByWorker.keySet());
        for (String worker : workers) {
            Endpoint now = effectiveEndpoint(worker);
            Endpoint before = now == null ? publishedEndpoints.remove(worker) : publishedEndpoints.put(worker, now);
            if (Objects.equals(before, now)) {
                continue;
            }
            if (now != null) {
                recordState(now);
            }
            changes.add(now != null ? now : withState(before, Endpoint.State.DELETED));
            counts = counts.plus(countOf(before, now));
        }
        if (!published || !changes.isEmpty()) {
            EndpointUpdate.Kind kind = published ? EndpointUpdate.Kind.DELTA : EndpointUpdate.Kind.FULL_SNAPSHOT;
            published = true;
            listener.endpointsChanged(new EndpointUpdate(kind, listVersion, changes));
        }
        return counts;
    }

    private void recordState(Endpoint endpoint) {
        if (endpoint.state() == Endpoint.State.SERVING) {
            drains.recordServing(endpoint.worker(), endpoint.startedAtMs());
        } else {
            drains.recordDrain(endpoint.worker(), endpoint.startedAtMs());
        }
    }

    /** One of these differs from the other; null: the worker is not listed. */
    private static ChangeCounts countOf(Endpoint before, Endpoint now) {
        if (before == null) {
            return new ChangeCounts(1, 0, 0, 0, 0);
        }
        if (now == null) {
            return new ChangeCounts(0, 1, 0, 0, 0);
        }
        if (now.startedAtMs() != before.startedAtMs()) {
            return new ChangeCounts(0, 0, 0, 1, 0);
        }
        boolean drained = now.state() != before.state() && now.state() != Endpoint.State.SERVING;
        return drained ? new ChangeCounts(0, 0, 1, 0, 0) : new ChangeCounts(0, 0, 0, 0, 1);
    }
}
