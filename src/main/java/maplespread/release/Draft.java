package maplespread.release;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import maplespread.release.State.Accident;
import maplespread.release.State.Act;
import maplespread.release.State.Halt;
import maplespread.release.State.Known;
import maplespread.release.State.Leave;
import maplespread.release.State.Release;

/** A state on its way to the next one. */
final class Draft {
    private static final int LOG = 12;
    private static final int ENDED = 64;

    Limits limits;
    Release release;
    final SortedMap<String, Known> members;
    final SortedMap<String, Leave> leaves;
    final SortedMap<String, Accident> accidents;
    Halt halt;
    long calm;
    long grants;
    long acts;
    long beats;
    final List<String> ended;
    final List<Act> log;

    Draft(State s) {
        limits = s.limits();
        release = s.release();
        members = new TreeMap<>(s.members());
        leaves = new TreeMap<>(s.leaves());
        accidents = new TreeMap<>(s.accidents());
        halt = s.halt();
        calm = s.calm();
        grants = s.grants();
        acts = s.acts();
        beats = s.beats();
        ended = new ArrayList<>(s.ended());
        log = new ArrayList<>(s.log());
    }

    State done() {
        return new State(
                limits,
                release,
                members,
                leaves,
                accidents,
                halt,
                calm,
                grants,
                acts,
                beats,
                ended.subList(Math.max(0, ended.size() - ENDED), ended.size()),
                log.subList(Math.max(0, log.size() - LOG), log.size()));
    }

    Draft log(String by, String what, String why) {
        log.add(new Act(by, what, why));
        return this;
    }

    /** Whatever waits for quiet waits anew, and the next leave needs a whole quiet time. */
    Draft disturbed() {
        calm++;
        release = release == null ? null : release.with(-1);
        return this;
    }

    /** An operator's act, or a halt: what was called before it is late from here on. */
    Draft acted(Halt next) {
        acts++;
        halt = next;
        return disturbed();
    }

    void grant(String member, long run, String ofRelease, String why) {
        leaves.put(member, new Leave(++grants, run, ofRelease, why));
    }
}
