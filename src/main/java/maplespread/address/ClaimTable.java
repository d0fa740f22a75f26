package maplespread.address;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.address.ClaimMessage.Entry;
import maplespread.address.ClaimMessage.Kind;

/**
 * The claims that an elector holds: for each request id, the instance and incarnation that claimed it, and the outcome of
 * the request. An id has one claimant here until its retention ends, so that only one of two claimants can have a majority.
 *
 * <p>Nothing is persisted. An elector that starts is recovering until it has read the claims of enough other electors to
 * know every claim that it may have held before, or until any such claim has expired.
 */
public final class ClaimTable {
    private static final int MAX_SYNC_ENTRIES = 16;
    private static final long SYNC_INTERVAL_MS = 100;

    /** Delay of the first sync after the start, in claim timeouts; see {@link #tick} for the reason. */
    private static final int MIN_SYNC_DELAY_TIMEOUTS = 2;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private record Claimant(String name, long incarnation, long attempt) {
        static Claimant of(ClaimMessage message) {
            return new Claimant(message.sender(), message.incarnation(), message.attempt());
        }
    }

    /**
     * The claims on one id. This elector grants an id to one claimant. During recovery, other electors may report several
     * claimants: any of them may have sent the request, so the id is free only when all have abandoned it.
     */
    private static final class HeldId {
        private final Set<Claimant> claimants = new HashSet<>();
        private String outcome;
        private long since;

        HeldId(long since) {
            this.since = since;
        }
    }

    /** Sends the messages of a claim table. */
    public interface Transport {
        /** Sends a message to another instance; it may be lost, delayed, duplicated or reordered. */
        void send(String receiver, ClaimMessage message);
    }

    private final ClaimSettings settings;
    private final long incarnation;
    private final Transport transport;

    /** The claims by request id, in the order of their age, oldest first. */
    private final Map<String, HeldId> held = new LinkedHashMap<>();

    private final SyncProgress syncProgress = new SyncProgress();
    private final long startedAt;
    private long requestedAt = NEVER;
    private long highestTerm;
    private long syncResponses;
    private boolean recovering = true;

    /**
     * Creates the table of a recovering elector.
     *
     * @param incarnation distinguishes this process from others with the same name
     * @param now the current time, in milliseconds
     */
    public ClaimTable(ClaimSettings settings, long incarnation, long now, Transport transport) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.transport = transport;
        startedAt = now;
    }

    /** Whether this elector is still recovering and grants no claims. */
    public boolean recovering() {
        return recovering;
    }

    /** The number of held ids. */
    public int size() {
        return held.size();
    }

    /** Records a term that was observed: claims under lower terms are rejected afterwards. */
    public void term(long term) {
        highestTerm = Math.max(highestTerm, term);
    }

    /** Requests claims from other electors during recovery, and removes expired claims. */
    public void tick(long now) {
        long elapsedMs = now - startedAt;
        recovering &=
                elapsedMs <= settings.retentionMs() && syncProgress.completeSources() < settings.requiredSyncSources();
        // Sync waits until every claim that the previous incarnation may have granted has timed out. Otherwise another
        // elector could grant such a claim after its table was read, and complete a majority that this one forgot.
        boolean syncAllowed = elapsedMs >= MIN_SYNC_DELAY_TIMEOUTS * settings.claimTimeoutMs();
        if (recovering && syncAllowed && now - requestedAt >= SYNC_INTERVAL_MS) {
            requestedAt = now;
            requestSync();
        }
        forgetExpired(now);
    }

    private void requestSync() {
        for (String elector : settings.electors()) {
            if (!elector.equals(settings.name())) {
                transport.send(
                        elector,
                        ClaimMessage.of(Kind.SYNC_REQUEST, settings.name(), incarnation, "", 0, highestTerm, null));
            }
        }
    }

    private void forgetExpired(long now) {
        Iterator<HeldId> oldestFirst = held.values().iterator();
        while (oldestFirst.hasNext() && now - oldestFirst.next().since > settings.retentionMs()) {
            oldestFirst.remove();
        }
    }

    /** Processes a message from a claimant or another elector. */
    public void received(long now, ClaimMessage message) {
        tick(now);
        switch (message.kind()) {
            case CLAIM -> claim(now, message);
            case RECORD -> record(now, message);
            case ABANDON -> abandon(message);
            case SYNC_REQUEST -> {
                if (!recovering) {
                    sendClaims(now, message.sender());
                }
            }
            case SYNC_RESPONSE -> merge(now, message);
            default -> {} // replies are for claimants
        }
    }

    private void claim(long now, ClaimMessage claim) {
        HeldId known = held.get(claim.id());
        if (recovering) {
            reply(claim, Kind.RECOVERING, null);
        } else if (known != null) {
            boolean heldBySender = known.claimants.equals(Set.of(Claimant.of(claim)));
            reply(claim, heldBySender ? Kind.GRANTED : Kind.HELD, known.outcome);
        } else if (claim.term() < highestTerm || held.size() >= settings.maxClaims()) {
            // The claim belongs to an older lease, or the table is full: held claims are never evicted for a new one.
            reply(claim, Kind.RECOVERING, null);
        } else {
            highestTerm = claim.term();
            HeldId granted = new HeldId(now);
            granted.claimants.add(Claimant.of(claim));
            held.put(claim.id(), granted);
            reply(claim, Kind.GRANTED, null);
        }
    }

    /** Replies to the sender's incarnation only: attempts of two incarnations may have the same number. */
    private void reply(ClaimMessage request, Kind kind, String outcome) {
        transport.send(
                request.sender(),
                ClaimMessage.of(
                        kind,
                        settings.name(),
                        incarnation,
                        request.id(),
                        request.attempt(),
                        request.incarnation(),
                        outcome));
    }

    /** Stores an outcome, even if the claim was never received. The id becomes the newest in the table. */
    private void record(long now, ClaimMessage outcome) {
        HeldId known = held.remove(outcome.id());
        HeldId recorded = known == null ? new HeldId(now) : known;
        recorded.claimants.add(Claimant.of(outcome));
        recorded.outcome = outcome.outcome();
        recorded.since = now;
        held.put(outcome.id(), recorded);
    }

    /** Removes a claimant whose request was never sent. The id is free once no claimant remains. */
    private void abandon(ClaimMessage message) {
        HeldId known = held.get(message.id());
        if (known != null
                && known.outcome == null
                && known.claimants.remove(Claimant.of(message))
                && known.claimants.isEmpty()) {
            held.remove(message.id());
        }
    }

    // ------------------------------------------------------------ recovery

    /** Sends all held claims, split into as many parts as needed. */
    private void sendClaims(long now, String receiver) {
        List<List<Entry>> parts = splitIntoParts(now);
        syncResponses++;
        for (int number = 0; number < parts.size(); number++) {
            transport.send(
                    receiver,
                    new ClaimMessage(
                            Kind.SYNC_RESPONSE,
                            settings.name(),
                            incarnation,
                            Integer.toString(number),
                            syncResponses,
                            parts.size(),
                            null,
                            parts.get(number),
                            number == parts.size() - 1));
        }
    }

    /** Splits the held claims into at least one part, which may be empty. */
    private List<List<Entry>> splitIntoParts(long now) {
        List<List<Entry>> parts = new ArrayList<>();
        List<Entry> part = new ArrayList<>();
        parts.add(part);
        for (Map.Entry<String, HeldId> entry : held.entrySet()) {
            HeldId value = entry.getValue();
            for (Claimant claimant : value.claimants) {
                if (part.size() == MAX_SYNC_ENTRIES) {
                    part = new ArrayList<>();
                    parts.add(part);
                }
                part.add(new Entry(
                        entry.getKey(),
                        claimant.name(),
                        claimant.incarnation(),
                        claimant.attempt(),
                        value.outcome,
                        now - value.since));
            }
        }
        return parts;
    }

    /** Merges a part of another elector's claims. */
    private void merge(long now, ClaimMessage part) {
        for (Entry entry : part.entries()) {
            if (recovering && entry.ageMs() <= settings.retentionMs()) {
                merge(now - entry.ageMs(), entry);
            }
        }
        syncProgress.add(part);
        tick(now);
    }

    private void merge(long since, Entry entry) {
        HeldId known = held.computeIfAbsent(entry.id(), id -> new HeldId(since));
        known.claimants.add(new Claimant(entry.claimant(), entry.incarnation(), entry.attempt()));
        known.outcome = entry.outcome() != null ? entry.outcome() : known.outcome;
        known.since = Math.max(known.since, since);
    }
}
