package maplespread.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * What electors keep. {@code before}: the electors before, while a change of them is not known to be decided;
 * none otherwise. {@code done}: the last change of each proposer that is in the value, newest last, so that
 * one which is tried again is not applied twice.
 */
public record Kept(Value value, List<String> before, List<Done> done) {
    static final int MOST_DONE = 64;

    /** A proposer's change, and the version that it made. */
    public record Done(String name, long boot, long number, long version) {}

    /** Something kept, and the ballot under which it was taken. */
    public record Held(Ballot at, Kept kept) {
        static boolean later(Held a, Held b) {
            return a != null && (b == null || a.at.compareTo(b.at) > 0);
        }
    }

    public Kept {
        before = List.copyOf(before);
        done = List.copyOf(done);
    }

    /** Each of these lists must have a majority for what is read of, or written over, this. */
    List<List<String>> lists() {
        return before.isEmpty() ? List.of(value.electors()) : List.of(before, value.electors());
    }

    boolean has(String name, long boot, long number) {
        return done.stream().anyMatch(d -> d.name.equals(name) && d.boot == boot && d.number == number);
    }

    /** The list of those done with one more. */
    List<Done> doneWith(Done one) {
        List<Done> next = new ArrayList<>(done);
        next.removeIf(d -> d.name.equals(one.name));
        next.add(one);
        return next.subList(Math.max(0, next.size() - MOST_DONE), next.size());
    }
}
