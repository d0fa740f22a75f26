package maplespread.release;

import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import maplespread.release.View.Role;
import maplespread.release.View.Service;

/**
 * All that is agreed; immutable. {@code limits}: the standing ones, or null; {@code release}: the one that is
 * on, or the last one, or null; {@code calm}: grows with all that begins the quiet time anew; {@code grants},
 * {@code halts}: numbers of the last leave and the last halt; {@code ended}: names of older releases.
 */
public record State(Limits limits, Release release, SortedMap<String, Known> members,
        SortedMap<String, Leave> leaves, SortedMap<String, Accident> accidents, Halt halt, long calm,
        long grants, long halts, long beats, List<String> ended, List<Act> log) {

    public enum Phase { RUNNING, HALTED, ROLLING_BACK, ABANDONING, DONE, ROLLED_BACK, ABANDONED }

    /** {@code moves}: the phase but for a halt; {@code changed}: who is at the version it goes to. */
    public record Release(Plan plan, Phase moves, List<List<String>> steps, Set<String> changed, int open,
            SortedMap<String, Integer> tries, Service before) { }

    /** A member of the fleet. {@code full}: its capacity when warm. */
    public record Known(String address, Role role, String zone, String kind, String cell, double full) { }

    /** {@code number}: grows with every grant; {@code run}: the one that may leave; {@code release}: or empty. */
    public record Leave(long number, long run, String release, String why) { }

    public record Accident(String by, String why) { }

    public record Halt(long number, String by, String why) { }

    public record Act(String by, String what, String why) { }

    public static final State EMPTY = null;

    /** "" is the empty state. */
    public static State read(String text) {
        throw new UnsupportedOperationException();
    }

    public String text() {
        throw new UnsupportedOperationException();
    }

    /** HALTED, or where the release is going; null where there never was one. */
    public Phase phase() {
        throw new UnsupportedOperationException();
    }

    /** Whether a release is on: it moves, is halted, or still has members out. */
    public boolean on() {
        throw new UnsupportedOperationException();
    }

    /** The limits that count now: the release's where it is on and tighter; null where there are none. */
    public Limits inForce() {
        throw new UnsupportedOperationException();
    }
}
