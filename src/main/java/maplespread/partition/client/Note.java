package maplespread.partition.client;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import maplespread.partition.Hearings;

/**
 * What members tell each other of order, on the group's channel. ASK: whether an elector knows a later {@code
 * epoch} than this, in the register's life {@code life} and with its electors of number {@code electors};
 * {@code yes}: the asker wants slots. ANSWER: {@code yes}, it knows none. HEARD: an elector's report. HERE:
 * where jobs are taken. {@code run}: of the sender.
 */
record Note(
        Kind kind,
        long run,
        long number,
        long epoch,
        long life,
        long electors,
        boolean yes,
        String address,
        Hearings.Report report) {
    enum Kind {
        ASK,
        ANSWER,
        HEARD,
        HERE
    }

    private static final Gson GSON = new Gson();

    static Note ask(long run, Orders.Question q, long life, long electors, boolean wants) {
        return new Note(Kind.ASK, run, q.number(), q.epoch(), life, electors, wants, null, null);
    }

    static Note answer(long run, long number, boolean yes) {
        return new Note(Kind.ANSWER, run, number, 0, 0, 0, yes, null, null);
    }

    static Note heard(long run, Hearings.Report report) {
        return new Note(Kind.HEARD, run, 0, 0, 0, 0, false, null, report);
    }

    static Note here(long run, String address) {
        return new Note(Kind.HERE, run, 0, 0, 0, 0, false, address, null);
    }

    byte[] bytes() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }

    /** Null for what is no note, as another version may send. */
    static Note read(byte[] bytes) {
        try {
            Note n = GSON.fromJson(new String(bytes, StandardCharsets.UTF_8), Note.class);
            boolean whole = n != null
                    && n.kind != null
                    && (n.kind != Kind.HERE || n.address != null)
                    && (n.kind != Kind.HEARD || n.report != null && n.report.heard() != null);
            return whole ? n : null;
        } catch (JsonParseException e) {
            return null;
        }
    }
}
