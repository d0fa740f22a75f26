package maplespread.release;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import maplespread.release.View.Member;
import maplespread.release.View.Service;

/** All that can be asked of the state. {@code by}: the instance or operator that asks, for the log. */
public final class Commands {
    private Commands() {
    }

    /** New standing limits; null: none. */
    public static Command limits(String by, Limits limits) {
        throw new UnsupportedOperationException();
    }

    /** Begins a release; again with the same plan: nothing. {@code view}: gives members and the service before. */
    public static Command begin(String by, Plan plan, View view) {
        throw new UnsupportedOperationException();
    }

    /**
     * Leave for a member of the release that is on. {@code seen}: {@link State#calm()} as the proposer saw it,
     * and since when it has waited the quiet time where a new step begins.
     */
    public static Command leave(String by, String member, long seen, View view) {
        throw new UnsupportedOperationException();
    }

    /** Leave by an operator's call, where no release is on: for a member that is to be drained for itself. */
    public static Command leaveByHand(String by, String member, View view, String why) {
        throw new UnsupportedOperationException();
    }

    /** The holder of this leave was seen serving, warm, under a later run. */
    public static Command back(String by, long number, Member seen) {
        throw new UnsupportedOperationException();
    }

    /**
     * The leave is given back unused, or the same run serves again: only where {@link Order.Recall} has been
     * carried out, after which a drain by this leave is refused where it would be carried out.
     */
    public static Command returned(String by, long number) {
        throw new UnsupportedOperationException();
    }

    /** Members seen out without leave, and members with an accident that are seen serving again. */
    public static Command observe(String by, Collection<String> out, Collection<String> serving) {
        throw new UnsupportedOperationException();
    }

    /** Members that were not known, or whose full capacity has changed; {@code replaced}: old name to new. */
    public static Command changeMembers(String by, List<Member> put, Map<String, String> replaced) {
        throw new UnsupportedOperationException();
    }

    /** No leave from here on, release or not. A second halt is noted. */
    public static Command halt(String by, String why) {
        throw new UnsupportedOperationException();
    }

    /** Lifts the halt of this number ({@link State#halts()}); a newer one stays. */
    public static Command goOn(String by, String why, long halt) {
        throw new UnsupportedOperationException();
    }

    /** Members that were changed return, in reverse order; lifts the halt of this number. */
    public static Command rollBack(String by, String why, long halt) {
        throw new UnsupportedOperationException();
    }

    /** Nothing more is moved, those out come back; lifts the halt of this number. */
    public static Command abandon(String by, String why, long halt) {
        throw new UnsupportedOperationException();
    }

    /** An operator says that the member is gone for good: whatever it held is free. */
    public static Command gone(String by, String member) {
        throw new UnsupportedOperationException();
    }

    /** A drain without leave: counts as an accident at once; {@code word}: the operator's, logged. */
    public static Command force(String by, String member, String word) {
        throw new UnsupportedOperationException();
    }

    /** Somebody has had a majority; see {@link Driver}. */
    public static Command beat(long seen) {
        throw new UnsupportedOperationException();
    }

    /** Throws the reason why a drain without leave is refused; returns where nothing is on. */
    public static void checkDrain(State now, String member) throws ReleaseRefused {
        throw new UnsupportedOperationException();
    }
}
