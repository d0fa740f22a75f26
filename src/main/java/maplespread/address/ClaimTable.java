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
 * An elector's claims: which run of which instance holds an order id, and what came of it. One id has one
 * claimant here until its time is over, so that of two that claim it only one can have a majority.
 *
 * <p>Nothing is stored. An elector that begins says BLIND until it has read enough others that every claim
 * which it may have held before is known to it again, or until any such claim is over.
 */
public final class ClaimTable {
    private static final int SYNC_ENTRIES = 16;
    private static final long SYNC_AGAIN_MS = 100;

    private record Claimant(String name, long boot, long attempt) {}

    /**
     * An id. A vote is given to one claimant, but others read at a start may have voted for several: each of
     * them may be the one that ran it, so the id is free only when all have given it back.
     */
    private static final class Held {
        final Set<Claimant> claimants = new HashSet<>();
        String outcome;
        long at;

        Held(long at) {
            this.at = at;
        }
    }

    /** Where words go. */
    public interface Transport {
        void send(String to, ClaimMessage word);
    }

    private final ClaimSettings set;
    private final long boot;
    private final Transport sink;
    private final Map<String, Held> held = new LinkedHashMap<>(); // the oldest first
    private final Set<String> sources = new HashSet<>();
    private final long startedAt;
    private long askedAt = Long.MIN_VALUE / 2;
    private long highest;
    private boolean recovering = true;

    public ClaimTable(ClaimSettings set, long boot, long now, Transport sink) {
        this.set = set;
        this.boot = boot;
        this.sink = sink;
        startedAt = now;
    }

    public boolean recovering() {
        return recovering;
    }

    public int size() {
        return held.size();
    }

    /** A term heard of: claims under lower ones are refused from then on. */
    public void term(long term) {
        highest = Math.max(highest, term);
    }

    /** Asks others while it is blind, and lets go of what is over. */
    public void tick(long now) {
        recovering &= now - startedAt <= set.retentionMs() && sources.size() < set.requiredSyncSources();
        // Not before every claim is over for which the run before may have voted: a vote that another elector
        // gives to such a claim after it was read would complete a majority that nobody here remembers.
        if (recovering && now - startedAt >= 2 * set.claimTimeoutMs() && now - askedAt >= SYNC_AGAIN_MS) {
            askedAt = now;
            for (String other : set.electors()) {
                if (!other.equals(set.name())) {
                    sink.send(other, ClaimMessage.of(Kind.SYNC_REQUEST, set.name(), boot, "", 0, highest, null));
                }
            }
        }
        for (Iterator<Held> all = held.values().iterator(); all.hasNext(); ) {
            if (now - all.next().at <= set.retentionMs()) {
                break;
            }
            all.remove();
        }
    }

    /** What a claimant or another elector says. */
    public void received(long now, ClaimMessage w) {
        tick(now);
        switch (w.kind()) {
            case CLAIM -> claim(now, w);
            case RECORD -> record(now, w);
            case ABANDON -> {
                Held h = held.get(w.id());
                if (h != null && h.outcome == null && h.claimants.remove(claimant(w)) && h.claimants.isEmpty()) {
                    held.remove(w.id()); // it was never sent
                }
            }
            case SYNC_REQUEST -> {
                if (!recovering) {
                    sync(now, w.sender());
                }
            }
            case SYNC_RESPONSE -> learn(now, w);
            default -> {}
        }
    }

    private static Claimant claimant(ClaimMessage w) {
        return new Claimant(w.sender(), w.incarnation(), w.attempt());
    }

    private void claim(long now, ClaimMessage w) {
        Held h = held.get(w.id());
        if (recovering) {
            answer(w, Kind.RECOVERING, null);
        } else if (h != null) {
            answer(w, h.claimants.equals(Set.of(claimant(w))) ? Kind.GRANTED : Kind.HELD, h.outcome);
        } else if (w.term() < highest || held.size() >= set.maxClaims()) {
            // An older lease's, or no room: whoever has it may not be forgotten for it.
            answer(w, Kind.RECOVERING, null);
        } else {
            highest = w.term();
            held.computeIfAbsent(w.id(), id -> new Held(now)).claimants.add(claimant(w));
            answer(w, Kind.GRANTED, null);
        }
    }

    /** To the run that asked, and no other: attempts of two runs may have one number. */
    private void answer(ClaimMessage asked, Kind kind, String outcome) {
        sink.send(
                asked.sender(),
                ClaimMessage.of(kind, set.name(), boot, asked.id(), asked.attempt(), asked.incarnation(), outcome));
    }

    /** An outcome is kept also where the claim was never heard of. */
    private void record(long now, ClaimMessage w) {
        Held h = held.remove(w.id());
        h = h == null ? new Held(now) : h;
        h.claimants.add(claimant(w));
        h.outcome = w.outcome();
        h.at = now;
        held.put(w.id(), h);
    }

    private void sync(long now, String to) {
        List<List<Entry>> parts = new ArrayList<>();
        parts.add(new ArrayList<>());
        for (Map.Entry<String, Held> e : held.entrySet()) {
            Held h = e.getValue();
            for (Claimant c : h.claimants) {
                if (parts.get(parts.size() - 1).size() == SYNC_ENTRIES) {
                    parts.add(new ArrayList<>());
                }
                parts.get(parts.size() - 1)
                        .add(new Entry(e.getKey(), c.name(), c.boot(), c.attempt(), h.outcome, now - h.at));
            }
        }
        answers++;
        for (int i = 0; i < parts.size(); i++) {
            sink.send(
                    to,
                    new ClaimMessage(
                            Kind.SYNC_RESPONSE,
                            set.name(),
                            boot,
                            Integer.toString(i),
                            answers,
                            parts.size(),
                            null,
                            parts.get(i),
                            i == parts.size() - 1));
        }
    }

    /** The parts that have come of one answer of one source. */
    private record Answer(long boot, long number, Set<String> parts) {}

    private final Map<String, Answer> read = new LinkedHashMap<>();
    private long answers;

    /** Part of another's claims; that one counts as read only when all parts of one answer have come. */
    private void learn(long now, ClaimMessage w) {
        for (Entry e : w.entries()) {
            if (recovering && e.ageMs() <= set.retentionMs()) {
                Held h = held.computeIfAbsent(e.id(), id -> new Held(now - e.ageMs()));
                h.claimants.add(new Claimant(e.claimant(), e.incarnation(), e.attempt()));
                h.outcome = e.outcome() != null ? e.outcome() : h.outcome;
                h.at = Math.max(h.at, now - e.ageMs());
            }
        }
        Answer a = read.get(w.sender());
        if (a == null || a.boot() != w.incarnation() || a.number() != w.attempt()) {
            a = new Answer(w.incarnation(), w.attempt(), new HashSet<>());
            read.put(w.sender(), a);
        }
        a.parts().add(w.id());
        if (a.parts().size() == w.term()) {
            sources.add(w.sender());
        }
        tick(now);
    }
}
