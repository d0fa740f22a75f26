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
 * An elector's claims: which incarnation of which instance holds an order id, and what came of it. One id has one
 * claimant here until its time is over, so that of two that claim it only one can have a majority.
 *
 * <p>Nothing is stored. An elector that starts recovers until it has read enough others that every claim which it may
 * have held before is known to it again, or until any such claim is over.
 */
public final class ClaimTable {
    private static final int MAX_SYNC_ENTRIES = 16;
    private static final long SYNC_INTERVAL_MS = 100;

    /** No sync before this many claim timeouts: see {@link #tick}. */
    private static final int SYNC_DELAY_TIMEOUTS = 2;

    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private record Claimant(String name, long incarnation, long attempt) {
        static Claimant of(ClaimMessage message) {
            return new Claimant(message.sender(), message.incarnation(), message.attempt());
        }
    }

    /**
     * An id. It is granted to one claimant, but others that are read during recovery may have granted it to several: each
     * of them may be the one that ran it, so the id is free only when all have given it back.
     */
    private static final class HeldId {
        private final Set<Claimant> claimants = new HashSet<>();
        private String outcome;
        private long since;

        HeldId(long since) {
            this.since = since;
        }
    }

    /** Takes messages. */
    public interface Transport {
        /** Sends a message to another instance; it may be lost, delayed, repeated or overtaken. */
        void send(String receiver, ClaimMessage message);
    }

    private final ClaimSettings settings;
    private final long incarnation;
    private final Transport transport;
    private final Map<String, HeldId> held = new LinkedHashMap<>(); // the oldest first
    private final SyncProgress syncProgress = new SyncProgress();
    private final long startedAt;
    private long requestedAt = LONG_AGO;
    private long highestTerm;
    private long syncResponses;
    private boolean recovering = true;

    /**
     * An elector that recovers.
     *
     * @param incarnation tells this process from others of its name
     * @param now the time in milliseconds
     */
    public ClaimTable(ClaimSettings settings, long incarnation, long now, Transport transport) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.transport = transport;
        startedAt = now;
    }

    /** Whether this elector grants nothing yet. */
    public boolean recovering() {
        return recovering;
    }

    /** The number of ids that are held. */
    public int size() {
        return held.size();
    }

    /** A term was seen: claims under lower ones are not granted from then on. */
    public void term(long term) {
        highestTerm = Math.max(highestTerm, term);
    }

    /** Asks others during recovery, and forgets what is over. */
    public void tick(long now) {
        long elapsedMs = now - startedAt;
        recovering &=
                elapsedMs <= settings.retentionMs() && syncProgress.completeSources() < settings.requiredSyncSources();
        // Not before every claim is over that the incarnation before may have granted: a grant that another elector
        // gives to such a claim after it was read would complete a majority that nobody here remembers.
        boolean syncAllowed = elapsedMs >= SYNC_DELAY_TIMEOUTS * settings.claimTimeoutMs();
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

    /** Takes what a claimant or another elector sends. */
    public void received(long now, ClaimMessage message) {
        tick(now);
        switch (message.kind()) {
            case CLAIM -> claim(now, message);
            case RECORD -> record(now, message);
            case ABANDON -> abandon(message);
            case SYNC_REQUEST -> {
                if (!recovering) {
                    sync(now, message.sender());
                }
            }
            case SYNC_RESPONSE -> learn(now, message);
            default -> {} // an answer, for claimants
        }
    }

    private void claim(long now, ClaimMessage claim) {
        HeldId known = held.get(claim.id());
        if (recovering) {
            answer(claim, Kind.RECOVERING, null);
        } else if (known != null) {
            boolean same = known.claimants.equals(Set.of(Claimant.of(claim)));
            answer(claim, same ? Kind.GRANTED : Kind.HELD, known.outcome);
        } else if (claim.term() < highestTerm || held.size() >= settings.maxClaims()) {
            // An older lease's, or the table is full: no other claim may be forgotten for it.
            answer(claim, Kind.RECOVERING, null);
        } else {
            highestTerm = claim.term();
            HeldId granted = new HeldId(now);
            granted.claimants.add(Claimant.of(claim));
            held.put(claim.id(), granted);
            answer(claim, Kind.GRANTED, null);
        }
    }

    /** To the incarnation that asked, and no other: attempts of two incarnations may have one number. */
    private void answer(ClaimMessage asked, Kind kind, String outcome) {
        transport.send(
                asked.sender(),
                ClaimMessage.of(
                        kind, settings.name(), incarnation, asked.id(), asked.attempt(), asked.incarnation(), outcome));
    }

    /** An outcome is kept also where the claim was never received. It moves the id to the end, as the newest. */
    private void record(long now, ClaimMessage outcome) {
        HeldId known = held.remove(outcome.id());
        HeldId recorded = known == null ? new HeldId(now) : known;
        recorded.claimants.add(Claimant.of(outcome));
        recorded.outcome = outcome.outcome();
        recorded.since = now;
        held.put(outcome.id(), recorded);
    }

    /** The order was never sent: the id is free once no claimant is left. */
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

    /** Sends all that is held, in as many parts as it takes. */
    private void sync(long now, String receiver) {
        List<List<Entry>> parts = parts(now);
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

    /** At least one part, which may be empty. */
    private List<List<Entry>> parts(long now) {
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

    /** Takes a part of another elector's claims. */
    private void learn(long now, ClaimMessage part) {
        for (Entry entry : part.entries()) {
            if (recovering && entry.ageMs() <= settings.retentionMs()) {
                learn(now - entry.ageMs(), entry);
            }
        }
        syncProgress.add(part);
        tick(now);
    }

    private void learn(long since, Entry entry) {
        HeldId known = held.computeIfAbsent(entry.id(), id -> new HeldId(since));
        known.claimants.add(new Claimant(entry.claimant(), entry.incarnation(), entry.attempt()));
        known.outcome = entry.outcome() != null ? entry.outcome() : known.outcome;
        known.since = Math.max(known.since, since);
    }
}
