package maplespread.agreement;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.agreement.Kept.Held;

/**
 * What one member sends another. {@code runs}: the newest run of each member that the sender knows of, its
 * crash vector. {@code ballot}: the try it belongs to; {@code promised}: the sender's newest promise;
 * {@code blind}: the sender's state; {@code founding}: the try begins a life anew; {@code asker}: the run
 * that asked; {@code electors}: of the sender's settings; {@code quorum}: the runs whose promises the try
 * rests on; {@code held}: what is told, null for nothing.
 */
public record Word(
        Kind kind,
        String from,
        long boot,
        Map<String, Long> runs,
        Ballot ballot,
        Ballot promised,
        boolean blind,
        boolean founding,
        long asker,
        List<String> electors,
        Map<String, Long> quorum,
        Held held) {
    /** ASK: of a blind one, to be answered by STATE. NEWS: what its sender knows as decided, without it. */
    public enum Kind {
        ASK,
        STATE,
        PREPARE,
        PROMISE,
        ACCEPT,
        ACCEPTED,
        REFUSE,
        DECIDED,
        NEWS
    }

    public Word {
        runs = new TreeMap<>(runs);
        quorum = new TreeMap<>(quorum);
        electors = List.copyOf(electors);
    }

    /** The same word with what it tells. */
    Word with(Held told) {
        return new Word(kind, from, boot, runs, ballot, promised, blind, founding, asker, electors, quorum, told);
    }
}
