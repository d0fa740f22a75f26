package maplespread.release;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.release.ReleaseRefused.Reason;
import maplespread.release.State.Accident;
import maplespread.release.State.Halt;
import maplespread.release.State.Known;
import maplespread.release.State.Leave;
import maplespread.release.State.Phase;
import maplespread.release.State.Release;
import maplespread.release.View.Member;
import maplespread.release.View.Role;
import maplespread.release.View.Service;

/**
 * All that can be asked of the state. {@code by}: the instance or operator that asks, for the log;
 * {@code act}: {@link State#acts()} as the operator saw it, so that an act that comes late, or twice, does
 * not undo what was decided since.
 */
public final class Commands {
    private static final int MOST_TRIES = 3;

    private Commands() {}

    // ------------------------------------------------------------ an operator's

    /** New standing limits; null: none. */
    public static Command limits(String by, Limits limits) {
        return now -> {
            if (limits == null ? now.limits() == null : limits.equals(now.limits())) {
                return now;
            }
            Draft d = new Draft(now).log(by, "limits", "").disturbed();
            d.limits = limits;
            return d.done();
        };
    }

    /** Begins a release; again with the same plan: nothing. {@code view}: its members, the service before. */
    public static Command begin(String by, Plan plan, View view) {
        return now -> {
            plan.check();
            if (now.on()) {
                if (now.release().plan().equals(plan)) {
                    return now;
                }
                throw refused(
                        Reason.RELEASE_ON, "release " + now.release().plan().id() + " is on");
            }
            if (now.halt() != null) {
                throw refused(Reason.HALTED, "halted: " + now.halt().why());
            }
            String before = now.release() == null ? "" : now.release().plan().id();
            if (before.equals(plan.id()) || now.ended().contains(plan.id())) {
                throw refused(Reason.NAME_USED, "a release " + plan.id() + " has been before");
            }
            Draft d = new Draft(now);
            for (Member m : view.members()) {
                if (m.serving()) {
                    put(d, now, m);
                }
            }
            for (String name : plan.names()) {
                if (!d.members.containsKey(name)) {
                    throw refused(Reason.MEMBER, "no member " + name + " is known");
                }
            }
            // The last release's marks end with it.
            d.members.replaceAll((id, k) -> changed(k, false));
            for (Member m : view.members()) {
                if (m.serving() && plan.byVersion() && m.version().equals(plan.to())) {
                    d.members.computeIfPresent(m.id(), (id, k) -> changed(k, true));
                }
            }
            List<List<String>> steps = plan.cut(d.members);
            if (steps.isEmpty()) {
                throw refused(Reason.BAD_PLAN, "the plan names no member that is known");
            }
            d.release = new Release(plan, Phase.RUNNING, steps, -1, new TreeMap<>(), view.service());
            if (!before.isEmpty()) {
                d.ended.add(before);
            }
            State next = d.log(by, "begin", plan.id()).acted(null).done();
            if (next.inForce().isEmpty()) {
                throw refused(Reason.BAD_PLAN, "there are no limits, neither standing nor the plan's");
            }
            Set<String> named = new TreeSet<>();
            steps.forEach(named::addAll);
            for (Limits l : next.inForce()) {
                String never = l.impossible(next.members(), named);
                if (!never.isEmpty()) {
                    throw refused(Reason.BAD_PLAN, never);
                }
            }
            return next;
        };
    }

    /** No leave from here on, release or not. A second halt counts as the newest one. */
    public static Command halt(String by, String why) {
        return now -> new Draft(now)
                .log(by, "halt", why)
                .acted(new Halt(now.acts() + 1, by, why))
                .done();
    }

    /** A halt that an instance comes to by itself; nothing where one stands, or an act has come since. */
    public static Command haltByItself(String by, String why, long act) {
        return now -> now.halt() != null || now.acts() != act || !now.on()
                ? now
                : halt(by, why).apply(now);
    }

    /** Lifts the halt; goes on where it was going. */
    public static Command goOn(String by, String why, long act) {
        return now -> {
            newest(now, act);
            if (now.halt() == null) {
                return now;
            }
            Draft d = retried(new Draft(now).log(by, "go on", why).acted(null));
            Release r = d.release;
            // Service as it is now is the operator's will: what was before the release counts no more.
            d.release =
                    r == null ? null : new Release(r.plan(), r.moves(), r.steps(), r.open(), r.tries(), Service.NONE);
            return d.done();
        };
    }

    /** Members that were changed return, in reverse order; lifts the halt. */
    public static Command rollBack(String by, String why, long act) {
        return now -> {
            newest(now, act);
            if (now.release() == null) {
                throw refused(Reason.NO_RELEASE, "there was no release to roll back");
            }
            if (now.release().moves() == Phase.ROLLED_BACK) {
                return now;
            }
            Draft d = new Draft(now).log(by, "roll back", why).acted(null);
            d.release = d.release.with(Phase.ROLLING_BACK);
            return retried(d).done();
        };
    }

    /** Nothing more is moved, those out come back; lifts the halt. */
    public static Command abandon(String by, String why, long act) {
        return now -> {
            newest(now, act);
            if (!now.on()) {
                throw refused(Reason.NO_RELEASE, "no release is on");
            }
            Draft d = new Draft(now).log(by, "abandon", why).acted(null);
            d.release = d.release.with(Phase.ABANDONING);
            return d.done();
        };
    }

    /** An operator says that the member is gone for good: whatever it held is free. */
    public static Command gone(String by, String member) {
        return now -> {
            if (!now.members().containsKey(member)) {
                throw refused(Reason.MEMBER, "no member " + member + " is known");
            }
            Draft d = new Draft(now).log(by, "gone", member).disturbed();
            d.members.remove(member);
            d.leaves.remove(member);
            d.accidents.remove(member);
            rename(d, member, null);
            return d.done();
        };
    }

    /** A drain without leave: counts as an accident at once; {@code word}: the operator's, logged. */
    public static Command force(String by, String member, String word) {
        return now -> {
            if (word.isBlank()) {
                throw refused(Reason.NO_LEAVE, "a drain of " + member + " without leave needs a word");
            }
            Draft d = new Draft(now).log(by, "force " + member, word).disturbed();
            if (now.members().containsKey(member) && !now.leaves().containsKey(member)) {
                d.accidents.put(member, new Accident(by, "forced: " + word));
            }
            return d.done();
        };
    }

    /**
     * Whether this leave stands and is not called back: one of a release is by a halt, and where the release
     * goes another way than the leave was for.
     */
    public static boolean stands(State now, String member, long run, long number) {
        Leave l = now.leaves().get(member);
        return l != null
                && l.number() == number
                && l.run() == run
                && (l.release().isEmpty()
                        || now.halt() == null
                                && now.on()
                                && l.why().equals(now.release().moves().name()));
    }

    /** Throws why a drain is refused; returns where nothing is on, or the member has leave that stands. */
    public static void checkDrain(State now, String member) throws ReleaseRefused {
        boolean bound = now.on() || !now.inForce().isEmpty() || now.halt() != null;
        Leave l = now.leaves().get(member);
        if (l != null && !stands(now, member, l.run(), l.number())) {
            throw refused(
                    now.halt() != null ? Reason.HALTED : Reason.STALE, "the leave of " + member + " is called back");
        }
        if (bound && l == null) {
            throw refused(
                    Reason.NO_LEAVE,
                    member + " has no leave to be out, and "
                            + (now.on() ? "release " + now.release().plan().id() + " is on" : "limits are on"));
        }
    }

    // ------------------------------------------------------------ leave

    /**
     * Leave for a member of the release that is on. {@code seen}: {@link State#calm()} as the proposer saw
     * it, through the whole quiet time where a step begins.
     */
    public static Command leave(String by, String member, long seen, View view) {
        return now -> {
            if (!now.on()) {
                throw refused(Reason.NO_RELEASE, "no release is on");
            }
            Release r = now.release();
            int step = now.step();
            if (r.moves() == Phase.ABANDONING
                    || step < 0
                    || !r.steps().get(step).contains(member)
                    || !now.todo().contains(member)) {
                throw refused(Reason.NOT_DUE, member + " is not to move now");
            }
            Member m = free(now, member, seen, view);
            Known k = now.members().get(member);
            if (m.run() > k.run() && judge(now, m, k.changed()) != k.changed()) {
                throw refused(Reason.NOT_DUE, member + " has changed without leave, as is soon told");
            }
            Draft d = new Draft(now);
            d.grant(member, m.run(), r.plan().id(), r.moves().name());
            d.release = r.with(step);
            return d.done();
        };
    }

    /** Leave by an operator's call, where no release is on. */
    public static Command leaveByHand(String by, String member, long seen, View view, String why) {
        return now -> {
            if (now.on()) {
                throw refused(
                        Reason.RELEASE_ON,
                        "release " + now.release().plan().id() + " is on, and gives leave in its own order");
            }
            Member m = free(now, member, seen, view);
            Draft d = new Draft(now).log(by, "leave " + member, why);
            d.grant(member, m.run(), "", why);
            return d.done();
        };
    }

    /** The member, where it may have leave by all that is told and all that the proposer sees. */
    private static Member free(State now, String member, long seen, View view) throws ReleaseRefused {
        if (now.halt() != null) {
            throw refused(
                    Reason.HALTED,
                    "halted by " + now.halt().by() + ": " + now.halt().why());
        }
        if (now.leaves().containsKey(member)) {
            throw refused(Reason.NOT_DUE, member + " has leave");
        }
        calm(now, seen);
        Member m = view.member(member);
        if (m == null
                || !m.serving()
                || !now.members().containsKey(member)
                || m.run() < now.members().get(member).run()
                || now.accidents().containsKey(member)) {
            throw refused(Reason.MEMBER, member + " is not seen serving");
        }
        Set<String> out = now.out();
        Map<String, Member> seenNow = new HashMap<>();
        view.members().forEach(x -> seenNow.put(x.id(), x));
        double all = 0;
        double stays = 0;
        for (Map.Entry<String, Known> k : now.members().entrySet()) {
            Member x = seenNow.get(k.getKey());
            if (x == null || !x.serving()) {
                out.add(k.getKey());
            }
            if (k.getValue().role() == Role.WORKER) {
                all += k.getValue().full();
                stays += k.getKey().equals(member) || out.contains(k.getKey())
                        ? 0
                        : Math.min(x.capacity(), k.getValue().full());
            }
        }
        out.add(member);
        for (Limits l : now.inForce()) {
            String over = l.exceeded(now.members(), out);
            if (!over.isEmpty()) {
                throw refused(Reason.LIMIT, over);
            }
            if (m.role() == Role.WORKER && stays < l.leastCapacity() * all) {
                throw refused(Reason.CAPACITY, "of a capacity of " + all + " only " + stays + " would stay");
            }
        }
        // Whoever is out may be restarted, and an elector that was knows nothing: a majority must stay.
        long electors = view.electors().stream()
                .filter(e -> seenNow.containsKey(e) && seenNow.get(e).serving() && !out.contains(e))
                .count();
        if (view.electors().contains(member) && 2 * electors <= view.electors().size()) {
            throw refused(
                    Reason.LIMIT,
                    "of " + view.electors().size() + " electors only " + electors
                            + " would stay, and nothing could be decided");
        }
        return m;
    }

    /** The holder of this leave was seen serving, warm, under a later run. */
    public static Command back(String by, long number, Member seen) {
        return now -> {
            Leave held = now.leaves().get(seen.id());
            if (held == null || held.number() != number) {
                return now; // told before, by another
            }
            if (seen.run() <= held.run() || !seen.serving() || !seen.warm()) {
                throw refused(Reason.MEMBER, seen.id() + " is not back: " + seen.status() + ", run " + seen.run());
            }
            Draft d = new Draft(now);
            d.calm++;
            d.leaves.remove(seen.id());
            d.accidents.remove(seen.id());
            Known was = now.members().get(seen.id());
            boolean named = now.on() && !held.release().isEmpty();
            boolean to = named && !byVersion(now, seen)
                    ? now.release().moves() != Phase.ROLLING_BACK
                    : judge(now, seen, was.changed());
            d.members.put(seen.id(), known(now, seen, was, to));
            State next = d.done();
            if (!named || !next.todo().contains(seen.id())) {
                return next;
            }
            // It has had its leave, and is not what it was to become.
            Draft again = new Draft(next);
            TreeMap<String, Integer> tries = new TreeMap<>(next.release().tries());
            int n = tries.merge(seen.id(), 1, Integer::sum);
            Release r = next.release();
            again.release = new Release(r.plan(), r.moves(), r.steps(), -1, tries, r.before());
            return n < MOST_TRIES
                    ? again.done()
                    : haltByItself(
                                    by,
                                    seen.id() + " came back " + n + " times as version " + seen.version(),
                                    now.acts())
                            .apply(again.done());
        };
    }

    /**
     * The leave is given back unused, or the same run serves again: only where {@link Order.Recall} has been
     * carried out, after which a drain by this leave is refused where it would be carried out.
     */
    public static Command returned(String by, long number) {
        return now -> {
            Draft d = new Draft(now);
            if (!d.leaves.values().removeIf(l -> l.number() == number)) {
                return now;
            }
            d.calm++;
            return d.done();
        };
    }

    /** The release has reached its end, as the proposer sees it: nobody is out, all are as wanted. */
    public static Command finish(String by, View view) {
        return now -> {
            if (!now.on()) {
                return now;
            }
            if (now.halt() != null) {
                throw refused(
                        Reason.HALTED,
                        "halted by " + now.halt().by() + ": " + now.halt().why());
            }
            Release r = now.release();
            for (Leave l : now.leaves().values()) {
                if (!l.release().isEmpty()) {
                    throw refused(Reason.NOT_DUE, "leave is still held");
                }
            }
            boolean left = r.moves() == Phase.ABANDONING;
            for (List<String> step : left ? List.<List<String>>of() : r.steps()) {
                for (String id : step) {
                    Member m = view.member(id);
                    boolean wanted = r.moves() == Phase.RUNNING;
                    if (m == null
                            || !m.serving()
                            || now.accidents().containsKey(id)
                            || m.run() < now.members().get(id).run()
                            || judge(now, m, wanted) != wanted
                            || now.members().get(id).changed() != wanted) {
                        throw refused(Reason.NOT_DUE, id + " is not yet seen as it should be");
                    }
                }
            }
            for (Member m : view.members()) {
                if (!left && m.serving() && !now.members().containsKey(m.id())) {
                    throw refused(Reason.NOT_DUE, m.id() + " has come, and is not told yet");
                }
            }
            Draft d = new Draft(now);
            d.release = r.with(left ? Phase.ABANDONED : r.moves() == Phase.RUNNING ? Phase.DONE : Phase.ROLLED_BACK);
            return d.log(by, d.release.moves().name(), r.plan().id()).done();
        };
    }

    // ------------------------------------------------------------ what is seen

    /**
     * Members seen out without leave; members seen serving: an accident of theirs is over, and a later run of
     * them may be another version. {@code seen}: the calm number at which the proposer looked; guards against
     * one that wakes with an old sight.
     */
    public static Command observe(String by, long seen, Collection<String> out, Collection<Member> serving) {
        return now -> {
            calm(now, seen);
            Draft d = new Draft(now);
            for (String id : out) {
                if (d.members.containsKey(id) && !d.leaves.containsKey(id)) {
                    d.accidents.putIfAbsent(id, new Accident(by, "seen out"));
                }
            }
            for (Member m : serving) {
                Known k = d.members.get(m.id());
                if (k != null && m.run() >= k.run()) {
                    d.accidents.remove(m.id());
                    if (m.run() > k.run() && now.release() != null && !d.leaves.containsKey(m.id())) {
                        d.members.put(m.id(), known(now, m, k, judge(now, m, k.changed())));
                    }
                }
            }
            boolean same = d.accidents.equals(now.accidents()) && d.members.equals(now.members());
            return same ? now : d.disturbed().done();
        };
    }

    /**
     * Members that were not known, or whose full capacity has changed. A later run at the address of a member
     * of another name has taken its place, with its leave or accident and its turn.
     */
    public static Command changeMembers(String by, long seen, Collection<Member> put) {
        return now -> {
            calm(now, seen);
            Draft d = new Draft(now);
            List<String> fresh = new ArrayList<>();
            for (Member m : put) {
                if (put(d, now, m) && (now.release() == null || byVersion(now, m))) {
                    fresh.add(m.id());
                }
            }
            if (d.members.keySet().equals(now.members().keySet())) {
                return d.members.equals(now.members()) ? now : d.done();
            }
            // A restart has nothing to do with who has just come.
            fresh.removeIf(id -> now.release() == null
                    || now.release().moves() == Phase.ABANDONED
                    || now.release().moves() == Phase.ROLLED_BACK
                    || !now.release().plan().names(id, d.members.get(id)));
            if (!fresh.isEmpty()) {
                List<List<String>> steps = new ArrayList<>(d.release.steps());
                steps.add(List.copyOf(fresh));
                d.release = d.release.with(steps);
            }
            return d.disturbed().done();
        };
    }

    /** Returns whether it is one more than before. */
    private static boolean put(Draft d, State now, Member m) {
        Known was = d.members.get(m.id());
        if (was != null) {
            if (m.run() >= was.run()) {
                d.members.put(
                        m.id(),
                        new Known(
                                m.address(),
                                m.role(),
                                m.zone(),
                                m.kind(),
                                m.cell(),
                                full(now, m, was),
                                was.run(),
                                was.changed()));
            }
            return false;
        }
        String old = "";
        for (Map.Entry<String, Known> k : d.members.entrySet()) {
            if (k.getValue().role() == m.role() && k.getValue().address().equals(m.address())) {
                old = k.getKey();
            }
        }
        if (old.isEmpty()) {
            d.members.put(m.id(), known(now, m, null, judge(now, m, false)));
            return true;
        }
        Known k = d.members.get(old);
        if (m.run() > k.run()) { // else the view is older than the state
            d.members.remove(old);
            d.members.put(m.id(), known(now, m, k, judge(now, m, k.changed())));
            Leave l = d.leaves.remove(old);
            if (l != null) {
                d.leaves.put(m.id(), new Leave(l.number(), 0, l.release(), l.why()));
            }
            Accident a = d.accidents.remove(old);
            if (a != null) {
                d.accidents.put(m.id(), a);
            }
            rename(d, old, m.id());
        }
        return false;
    }

    /** Somebody has had a majority; see {@link Driver}. */
    public static Command beat(long seen) {
        return now -> {
            Draft d = new Draft(now);
            d.beats += now.beats() == seen ? 1 : 0;
            return d.done();
        };
    }

    // ------------------------------------------------------------ parts

    /** Whether its version tells what it is; a worker says none, and is judged by runs. */
    private static boolean byVersion(State now, Member m) {
        return now.release().plan().byVersion() && !m.version().isEmpty();
    }

    /** Whether this run is where the release goes to; {@code was}: what a third version leaves as it was. */
    private static boolean judge(State now, Member m, boolean was) {
        if (now.release() == null || !byVersion(now, m)) {
            return was;
        }
        Plan p = now.release().plan();
        return m.version().equals(p.to())
                || was && !p.from().isEmpty() && !m.version().equals(p.from());
    }

    private static Known known(State now, Member m, Known was, boolean changed) {
        return new Known(
                m.address(),
                m.role(),
                m.zone(),
                m.kind(),
                m.cell(),
                was == null ? m.capacity() : full(now, m, was),
                Math.max(m.run(), was == null ? 0 : was.run()),
                changed);
    }

    private static Known changed(Known k, boolean changed) {
        return new Known(k.address(), k.role(), k.zone(), k.kind(), k.cell(), k.full(), k.run(), changed);
    }

    /** While a release is on it only grows: what the release makes slow is to be missed. */
    private static double full(State now, Member m, Known was) {
        return m.warm() && !now.on() ? m.capacity() : Math.max(m.capacity(), was.full());
    }

    private static void rename(Draft d, String old, String name) {
        if (d.release != null && d.release.names(old)) {
            List<List<String>> steps = new ArrayList<>();
            for (List<String> step : d.release.steps()) {
                List<String> next = new ArrayList<>(step);
                next.replaceAll(m -> m.equals(old) ? name : m);
                next.removeIf(m -> m == null);
                steps.add(next);
            }
            steps.removeIf(List::isEmpty);
            d.release = d.release.with(steps);
        }
    }

    private static Draft retried(Draft d) {
        if (d.release != null) {
            d.release = d.release.with(d.release.moves());
        }
        return d;
    }

    private static void newest(State now, long act) throws ReleaseRefused {
        if (now.acts() != act) {
            throw refused(Reason.STALE, "another act or halt has come since");
        }
    }

    private static void calm(State now, long seen) throws ReleaseRefused {
        if (now.calm() != seen) {
            throw refused(Reason.NOT_QUIET, "the fleet has changed since it was looked at");
        }
    }

    private static ReleaseRefused refused(Reason reason, String wrong) {
        return new ReleaseRefused(reason, wrong);
    }
}
