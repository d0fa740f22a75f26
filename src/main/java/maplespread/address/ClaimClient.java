package maplespread.address;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import maplespread.address.ClaimMessage.Kind;

/**
 * A claimant's orders: before the first byte of one goes to a worker, a majority of the electors holds its
 * id for this run of this instance. A gate before a branch; where the branch goes is the module's word, as
 * always.
 */
public final class ClaimClient {
    /** What is known of an id. */
    public sealed interface Verdict {
        /** It is this instance's to send, once, at once. */
        record Granted() implements Verdict {}

        /** It ran before; this came of it. */
        record Known(String outcome) implements Verdict {}

        /** Another claim of it is held and may have run: it must not run again. */
        record InDoubt() implements Verdict {}

        /** No majority could be asked: it has not run by this claim, and may be tried again. */
        record Unavailable() implements Verdict {}
    }

    /** Where words and verdicts go. */
    public interface Transport {
        void send(String to, ClaimMessage word);

        void decided(String id, Verdict verdict);
    }

    private static final class Open {
        final long attempt, endsAt;
        final Set<String> yes = new HashSet<>();
        final Set<String> heard = new HashSet<>();
        boolean held;

        Open(long attempt, long endsAt) {
            this.attempt = attempt;
            this.endsAt = endsAt;
        }
    }

    private final ClaimSettings set;
    private final long boot;
    private final Transport sink;
    private final Map<String, Open> open = new HashMap<>();
    private final Map<String, Long> granted = new HashMap<>(); // until their outcome: the attempt
    private long attempts;

    /** {@code boot}: tells this run from others of its name. */
    public ClaimClient(ClaimSettings set, long boot, Transport sink) {
        this.set = set;
        this.boot = boot;
        this.sink = sink;
    }

    /** Asks the electors for the id, under the lease's term. An id that is in work here is in doubt. */
    public void claim(long now, String id, long term) {
        if (open.containsKey(id) || granted.containsKey(id)) {
            sink.decided(id, new Verdict.InDoubt());
            return;
        }
        Open o = new Open(++attempts, now + set.claimTimeoutMs());
        open.put(id, o);
        for (String elector : set.electors()) {
            if (open.get(id) == o) { // an answer may come within the call
                sink.send(elector, word(Kind.CLAIM, id, o.attempt, term, null));
            }
        }
    }

    private ClaimMessage word(Kind kind, String id, long attempt, long term, String outcome) {
        return ClaimMessage.of(kind, set.name(), boot, id, attempt, term, outcome);
    }

    /**
     * What an elector says. A vote that is read after the claim's time counts for nothing, even if it came
     * before: electors that have restarted rely on that time.
     */
    public void received(long now, ClaimMessage w) {
        tick(now);
        Open o = open.get(w.id());
        if (o == null
                || o.attempt != w.attempt()
                || w.term() != boot
                || !set.electors().contains(w.sender())) {
            return;
        }
        o.heard.add(w.sender());
        switch (w.kind()) {
            case GRANTED -> {
                o.yes.add(w.sender());
                if (o.yes.size() >= set.majority()) {
                    open.remove(w.id());
                    granted.put(w.id(), o.attempt);
                    sink.decided(w.id(), new Verdict.Granted());
                }
            }
            case HELD -> {
                o.held = true;
                if (w.outcome() != null) {
                    end(w.id(), o, new Verdict.Known(w.outcome()));
                }
            }
            default -> {}
        }
        // One that holds another's claim may be overruled by a majority that does not: all are awaited.
        if (open.get(w.id()) == o && o.heard.size() == set.electors().size()) {
            end(w.id(), o, o.held ? new Verdict.InDoubt() : new Verdict.Unavailable());
        }
    }

    /** Ends what has waited too long. */
    public void tick(long now) {
        for (String id : Set.copyOf(open.keySet())) {
            Open o = open.get(id);
            if (o != null && now >= o.endsAt) {
                end(id, o, o.held ? new Verdict.InDoubt() : new Verdict.Unavailable());
            }
        }
    }

    private void end(String id, Open o, Verdict verdict) {
        open.remove(id);
        tell(word(Kind.ABANDON, id, o.attempt, 0, null)); // its votes would hold it for nothing
        sink.decided(id, verdict);
    }

    /** What came of an order that was granted: to be told before its client is answered. */
    public void record(String id, String outcome) {
        Long attempt = granted.remove(id);
        if (attempt != null) {
            tell(word(Kind.RECORD, id, attempt, 0, outcome));
        }
    }

    /** An order that was granted and then not sent, as the module refused it: the id is free again. */
    public void abandon(String id) {
        Long attempt = granted.remove(id);
        if (attempt != null) {
            tell(word(Kind.ABANDON, id, attempt, 0, null));
        }
    }

    private void tell(ClaimMessage w) {
        set.electors().forEach(elector -> sink.send(elector, w));
    }
}
