package maplespread.release;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.Halt;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.Phase;
import maplespread.release.RolloutState.PlannedOutage;
import maplespread.release.RolloutState.Release;
import maplespread.release.RolloutState.UnplannedOutage;

/**
 * All that can be asked of the state. {@code by}: the instance or operator that asks, for the log;
 * {@code act}: {@link RolloutState#controlVersion()} as the operator saw it, so that an act that comes late, or twice, does
 * not undo what was decided since.
 */
public final class OperatorCommands {
    private static final int MOST_TRIES = 3;

    private OperatorCommands() {}

    // ------------------------------------------------------------ an operator's

    /** New standing limits; null: none. */
    public static ReleaseCommand setLimits(String by, Limits limits) {
        return now -> {
            if (limits == null ? now.limits() == null : limits.equals(now.limits())) {
                return now;
            }
            RolloutStateBuilder d =
                    new RolloutStateBuilder(now).log(by, "limits", "").restartQuietPeriod();
            d.limits = limits;
            return d.build();
        };
    }

    /** Begins a release; again with the same plan: nothing. {@code view}: its members, the service before. */
    public static ReleaseCommand begin(String by, ReleasePlan plan, FleetView view) {
        return now -> {
            plan.check();
            if (now.inProgress()) {
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
            if (before.equals(plan.id()) || now.pastReleases().contains(plan.id())) {
                throw refused(Reason.NAME_USED, "a release " + plan.id() + " has been before");
            }
            RolloutStateBuilder d = new RolloutStateBuilder(now);
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
            List<List<String>> steps = plan.splitIntoSteps(d.members);
            if (steps.isEmpty()) {
                throw refused(Reason.BAD_PLAN, "the plan names no member that is known");
            }
            d.release = new Release(plan, Phase.RUNNING, steps, -1, new TreeMap<>(), view.service());
            if (!before.isEmpty()) {
                d.pastReleases.add(before);
            }
            RolloutState next = d.log(by, "begin", plan.id()).setHalt(null).build();
            if (next.limitsInForce().isEmpty()) {
                throw refused(Reason.BAD_PLAN, "there are no limits, neither standing nor the plan's");
            }
            Set<String> named = new TreeSet<>();
            steps.forEach(named::addAll);
            for (Limits l : next.limitsInForce()) {
                String never = l.impossible(next.members(), named);
                if (!never.isEmpty()) {
                    throw refused(Reason.BAD_PLAN, never);
                }
            }
            return next;
        };
    }

    /** No leave from here on, release or not. A second halt counts as the newest one. */
    public static ReleaseCommand halt(String by, String why) {
        return now -> new RolloutStateBuilder(now)
                .log(by, "halt", why)
                .setHalt(new Halt(now.controlVersion() + 1, by, why))
                .build();
    }

    /** A halt that an instance comes to by itself; nothing where one stands, or an act has come since. */
    public static ReleaseCommand haltAutomatically(String by, String why, long act) {
        return now -> now.halt() != null || now.controlVersion() != act || !now.inProgress()
                ? now
                : halt(by, why).apply(now);
    }

    /** Lifts the halt; goes on where it was going. */
    public static ReleaseCommand resume(String by, String why, long act) {
        return now -> {
            newest(now, act);
            if (now.halt() == null) {
                return now;
            }
            RolloutStateBuilder d =
                    retried(new RolloutStateBuilder(now).log(by, "go on", why).setHalt(null));
            Release r = d.release;
            // Service as it is now is the operator's will: what was before the release counts no more.
            d.release = r == null
                    ? null
                    : new Release(r.plan(), r.activePhase(), r.steps(), r.openStep(), r.attempts(), ServiceLevel.NONE);
            return d.build();
        };
    }

    /** Members that were changed return, in reverse order; lifts the halt. */
    public static ReleaseCommand rollBack(String by, String why, long act) {
        return now -> {
            newest(now, act);
            if (now.release() == null) {
                throw refused(Reason.NO_RELEASE, "there was no release to roll back");
            }
            if (now.release().activePhase() == Phase.ROLLED_BACK) {
                return now;
            }
            RolloutStateBuilder d =
                    new RolloutStateBuilder(now).log(by, "roll back", why).setHalt(null);
            d.release = d.release.with(Phase.ROLLING_BACK);
            return retried(d).build();
        };
    }

    /** Nothing more is moved, those out come back; lifts the halt. */
    public static ReleaseCommand abandon(String by, String why, long act) {
        return now -> {
            newest(now, act);
            if (!now.inProgress()) {
                throw refused(Reason.NO_RELEASE, "no release is on");
            }
            RolloutStateBuilder d =
                    new RolloutStateBuilder(now).log(by, "abandon", why).setHalt(null);
            d.release = d.release.with(Phase.ABANDONING);
            return d.build();
        };
    }

    /** An operator says that the member is gone for good: whatever it held is free. */
    public static ReleaseCommand removeMember(String by, String member) {
        return now -> {
            if (!now.members().containsKey(member)) {
                throw refused(Reason.MEMBER, "no member " + member + " is known");
            }
            RolloutStateBuilder d =
                    new RolloutStateBuilder(now).log(by, "gone", member).restartQuietPeriod();
            d.members.remove(member);
            d.plannedOutages.remove(member);
            d.unplannedOutages.remove(member);
            rename(d, member, null);
            return d.build();
        };
    }

    /** A drain without leave: counts as an accident at once; {@code word}: the operator's, logged. */
    public static ReleaseCommand forceDrain(String by, String member, String word) {
        return now -> {
            if (word.isBlank()) {
                throw refused(Reason.NO_LEAVE, "a drain of " + member + " without leave needs a word");
            }
            RolloutStateBuilder d = new RolloutStateBuilder(now)
                    .log(by, "force " + member, word)
                    .restartQuietPeriod();
            if (now.members().containsKey(member) && !now.plannedOutages().containsKey(member)) {
                d.unplannedOutages.put(member, new UnplannedOutage(by, "forced: " + word));
            }
            return d.build();
        };
    }

    /**
     * Whether this leave stands and is not called back: one of a release is by a halt, and where the release
     * goes another way than the leave was for.
     */
    public static boolean isDrainPermitted(RolloutState now, String member, long run, long number) {
        PlannedOutage l = now.plannedOutages().get(member);
        return l != null
                && l.number() == number
                && l.incarnation() == run
                && (l.release().isEmpty()
                        || now.halt() == null
                                && now.inProgress()
                                && l.why().equals(now.release().activePhase().name()));
    }

    /** Throws why a drain is refused; returns where nothing is on, or the member has leave that stands. */
    public static void requireDrainPermitted(RolloutState now, String member) throws ReleaseRejectedException {
        boolean bound = now.inProgress() || !now.limitsInForce().isEmpty() || now.halt() != null;
        PlannedOutage l = now.plannedOutages().get(member);
        if (l != null && !isDrainPermitted(now, member, l.incarnation(), l.number())) {
            throw refused(
                    now.halt() != null ? Reason.HALTED : Reason.STALE, "the leave of " + member + " is called back");
        }
        if (bound && l == null) {
            throw refused(
                    Reason.NO_LEAVE,
                    member + " has no leave to be out, and "
                            + (now.inProgress()
                                    ? "release " + now.release().plan().id() + " is on"
                                    : "limits are on"));
        }
    }

    // ------------------------------------------------------------ leave

    /**
     * Leave for a member of the release that is on. {@code seen}: {@link RolloutState#stabilityVersion()} as the proposer saw
     * it, through the whole quiet time where a step begins.
     */
    public static ReleaseCommand grantOutage(String by, String member, long seen, FleetView view) {
        return now -> {
            if (!now.inProgress()) {
                throw refused(Reason.NO_RELEASE, "no release is on");
            }
            Release r = now.release();
            int step = now.currentStep();
            if (r.activePhase() == Phase.ABANDONING
                    || step < 0
                    || !r.steps().get(step).contains(member)
                    || !now.pendingMembers().contains(member)) {
                throw refused(Reason.NOT_DUE, member + " is not to move now");
            }
            Member m = free(now, member, seen, view);
            KnownMember k = now.members().get(member);
            if (m.incarnation() > k.incarnation() && judge(now, m, k.updated()) != k.updated()) {
                throw refused(Reason.NOT_DUE, member + " has changed without leave, as is soon told");
            }
            RolloutStateBuilder d = new RolloutStateBuilder(now);
            d.grantOutage(
                    member, m.incarnation(), r.plan().id(), r.activePhase().name());
            d.release = r.with(step);
            return d.build();
        };
    }

    /** Leave by an operator's call, where no release is on. */
    public static ReleaseCommand grantManualOutage(String by, String member, long seen, FleetView view, String why) {
        return now -> {
            if (now.inProgress()) {
                throw refused(
                        Reason.RELEASE_ON,
                        "release " + now.release().plan().id() + " is on, and gives leave in its own order");
            }
            Member m = free(now, member, seen, view);
            RolloutStateBuilder d = new RolloutStateBuilder(now).log(by, "leave " + member, why);
            d.grantOutage(member, m.incarnation(), "", why);
            return d.build();
        };
    }

    /** The member, where it may have leave by all that is told and all that the proposer sees. */
    private static Member free(RolloutState now, String member, long seen, FleetView view)
            throws ReleaseRejectedException {
        if (now.halt() != null) {
            throw refused(
                    Reason.HALTED,
                    "halted by " + now.halt().by() + ": " + now.halt().why());
        }
        if (now.plannedOutages().containsKey(member)) {
            throw refused(Reason.NOT_DUE, member + " has leave");
        }
        calm(now, seen);
        Member m = view.member(member);
        if (m == null
                || !m.serving()
                || !now.members().containsKey(member)
                || m.incarnation() < now.members().get(member).incarnation()
                || now.unplannedOutages().containsKey(member)) {
            throw refused(Reason.MEMBER, member + " is not seen serving");
        }
        Set<String> out = now.unavailableMembers();
        Map<String, Member> seenNow = new HashMap<>();
        view.members().forEach(x -> seenNow.put(x.id(), x));
        double all = 0;
        double stays = 0;
        for (Map.Entry<String, KnownMember> k : now.members().entrySet()) {
            Member x = seenNow.get(k.getKey());
            if (x == null || !x.serving()) {
                out.add(k.getKey());
            }
            if (k.getValue().role() == Role.WORKER) {
                all += k.getValue().warmCapacity();
                stays += k.getKey().equals(member) || out.contains(k.getKey())
                        ? 0
                        : Math.min(x.capacity(), k.getValue().warmCapacity());
            }
        }
        out.add(member);
        for (Limits l : now.limitsInForce()) {
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
    public static ReleaseCommand confirmReturn(String by, long number, Member seen) {
        return now -> {
            PlannedOutage held = now.plannedOutages().get(seen.id());
            if (held == null || held.number() != number) {
                return now; // told before, by another
            }
            if (seen.incarnation() <= held.incarnation() || !seen.serving() || !seen.warm()) {
                throw refused(
                        Reason.MEMBER, seen.id() + " is not back: " + seen.status() + ", run " + seen.incarnation());
            }
            RolloutStateBuilder d = new RolloutStateBuilder(now);
            d.stabilityVersion++;
            d.plannedOutages.remove(seen.id());
            d.unplannedOutages.remove(seen.id());
            KnownMember was = now.members().get(seen.id());
            boolean named = now.inProgress() && !held.release().isEmpty();
            boolean to = named && !byVersion(now, seen)
                    ? now.release().activePhase() != Phase.ROLLING_BACK
                    : judge(now, seen, was.updated());
            d.members.put(seen.id(), known(now, seen, was, to));
            RolloutState next = d.build();
            if (!named || !next.pendingMembers().contains(seen.id())) {
                return next;
            }
            // It has had its leave, and is not what it was to become.
            RolloutStateBuilder again = new RolloutStateBuilder(next);
            TreeMap<String, Integer> tries = new TreeMap<>(next.release().attempts());
            int n = tries.merge(seen.id(), 1, Integer::sum);
            Release r = next.release();
            again.release = new Release(r.plan(), r.activePhase(), r.steps(), -1, tries, r.baseline());
            return n < MOST_TRIES
                    ? again.build()
                    : haltAutomatically(
                                    by,
                                    seen.id() + " came back " + n + " times as version " + seen.version(),
                                    now.controlVersion())
                            .apply(again.build());
        };
    }

    /**
     * The leave is given back unused, or the same run serves again: only where {@link RolloutAction.CancelDrain} has been
     * carried out, after which a drain by this leave is refused where it would be carried out.
     */
    public static ReleaseCommand relinquishOutage(String by, long number) {
        return now -> {
            RolloutStateBuilder d = new RolloutStateBuilder(now);
            if (!d.plannedOutages.values().removeIf(l -> l.number() == number)) {
                return now;
            }
            d.stabilityVersion++;
            return d.build();
        };
    }

    /** The release has reached its end, as the proposer sees it: nobody is out, all are as wanted. */
    public static ReleaseCommand finish(String by, FleetView view) {
        return now -> {
            if (!now.inProgress()) {
                return now;
            }
            if (now.halt() != null) {
                throw refused(
                        Reason.HALTED,
                        "halted by " + now.halt().by() + ": " + now.halt().why());
            }
            Release r = now.release();
            for (PlannedOutage l : now.plannedOutages().values()) {
                if (!l.release().isEmpty()) {
                    throw refused(Reason.NOT_DUE, "leave is still held");
                }
            }
            boolean left = r.activePhase() == Phase.ABANDONING;
            for (List<String> step : left ? List.<List<String>>of() : r.steps()) {
                for (String id : step) {
                    Member m = view.member(id);
                    boolean wanted = r.activePhase() == Phase.RUNNING;
                    if (m == null
                            || !m.serving()
                            || now.unplannedOutages().containsKey(id)
                            || m.incarnation() < now.members().get(id).incarnation()
                            || judge(now, m, wanted) != wanted
                            || now.members().get(id).updated() != wanted) {
                        throw refused(Reason.NOT_DUE, id + " is not yet seen as it should be");
                    }
                }
            }
            for (Member m : view.members()) {
                if (!left && m.serving() && !now.members().containsKey(m.id())) {
                    throw refused(Reason.NOT_DUE, m.id() + " has come, and is not told yet");
                }
            }
            RolloutStateBuilder d = new RolloutStateBuilder(now);
            d.release =
                    r.with(left ? Phase.ABANDONED : r.activePhase() == Phase.RUNNING ? Phase.DONE : Phase.ROLLED_BACK);
            return d.log(by, d.release.activePhase().name(), r.plan().id()).build();
        };
    }

    // ------------------------------------------------------------ what is seen

    /**
     * Members seen out without leave; members seen serving: an accident of theirs is over, and a later run of
     * them may be another version. {@code seen}: the calm number at which the proposer looked; guards against
     * one that wakes with an old sight.
     */
    public static ReleaseCommand recordObservations(
            String by, long seen, Collection<String> out, Collection<Member> serving) {
        return now -> {
            calm(now, seen);
            RolloutStateBuilder d = new RolloutStateBuilder(now);
            for (String id : out) {
                if (d.members.containsKey(id) && !d.plannedOutages.containsKey(id)) {
                    d.unplannedOutages.putIfAbsent(id, new UnplannedOutage(by, "seen out"));
                }
            }
            for (Member m : serving) {
                KnownMember k = d.members.get(m.id());
                if (k != null && m.incarnation() >= k.incarnation()) {
                    d.unplannedOutages.remove(m.id());
                    if (m.incarnation() > k.incarnation()
                            && now.release() != null
                            && !d.plannedOutages.containsKey(m.id())) {
                        d.members.put(m.id(), known(now, m, k, judge(now, m, k.updated())));
                    }
                }
            }
            boolean same = d.unplannedOutages.equals(now.unplannedOutages()) && d.members.equals(now.members());
            return same ? now : d.restartQuietPeriod().build();
        };
    }

    /**
     * Members that were not known, or whose full capacity has changed. A later run at the address of a member
     * of another name has taken its place, with its leave or accident and its turn.
     */
    public static ReleaseCommand updateMembers(String by, long seen, Collection<Member> put) {
        return now -> {
            calm(now, seen);
            RolloutStateBuilder d = new RolloutStateBuilder(now);
            List<String> fresh = new ArrayList<>();
            for (Member m : put) {
                if (put(d, now, m) && (now.release() == null || byVersion(now, m))) {
                    fresh.add(m.id());
                }
            }
            if (d.members.keySet().equals(now.members().keySet())) {
                return d.members.equals(now.members()) ? now : d.build();
            }
            // A restart has nothing to do with who has just come.
            fresh.removeIf(id -> now.release() == null
                    || now.release().activePhase() == Phase.ABANDONED
                    || now.release().activePhase() == Phase.ROLLED_BACK
                    || !now.release().plan().names(id, d.members.get(id)));
            if (!fresh.isEmpty()) {
                List<List<String>> steps = new ArrayList<>(d.release.steps());
                steps.add(List.copyOf(fresh));
                d.release = d.release.with(steps);
            }
            return d.restartQuietPeriod().build();
        };
    }

    /** Returns whether it is one more than before. */
    private static boolean put(RolloutStateBuilder d, RolloutState now, Member m) {
        KnownMember was = d.members.get(m.id());
        if (was != null) {
            if (m.incarnation() >= was.incarnation()) {
                d.members.put(
                        m.id(),
                        new KnownMember(
                                m.address(),
                                m.role(),
                                m.zone(),
                                m.kind(),
                                m.cell(),
                                full(now, m, was),
                                was.incarnation(),
                                was.updated()));
            }
            return false;
        }
        String old = "";
        for (Map.Entry<String, KnownMember> k : d.members.entrySet()) {
            if (k.getValue().role() == m.role() && k.getValue().address().equals(m.address())) {
                old = k.getKey();
            }
        }
        if (old.isEmpty()) {
            d.members.put(m.id(), known(now, m, null, judge(now, m, false)));
            return true;
        }
        KnownMember k = d.members.get(old);
        if (m.incarnation() > k.incarnation()) { // else the view is older than the state
            d.members.remove(old);
            d.members.put(m.id(), known(now, m, k, judge(now, m, k.updated())));
            PlannedOutage l = d.plannedOutages.remove(old);
            if (l != null) {
                d.plannedOutages.put(m.id(), new PlannedOutage(l.number(), 0, l.release(), l.why()));
            }
            UnplannedOutage a = d.unplannedOutages.remove(old);
            if (a != null) {
                d.unplannedOutages.put(m.id(), a);
            }
            rename(d, old, m.id());
        }
        return false;
    }

    /** Somebody has had a majority; see {@link RolloutController}. */
    public static ReleaseCommand recordHeartbeat(long seen) {
        return now -> {
            RolloutStateBuilder d = new RolloutStateBuilder(now);
            d.heartbeats += now.heartbeats() == seen ? 1 : 0;
            return d.build();
        };
    }

    // ------------------------------------------------------------ parts

    /** Whether its version tells what it is; a worker says none, and is judged by runs. */
    private static boolean byVersion(RolloutState now, Member m) {
        return now.release().plan().byVersion() && !m.version().isEmpty();
    }

    /** Whether this run is where the release goes to; {@code was}: what a third version leaves as it was. */
    private static boolean judge(RolloutState now, Member m, boolean was) {
        if (now.release() == null || !byVersion(now, m)) {
            return was;
        }
        ReleasePlan p = now.release().plan();
        return m.version().equals(p.to())
                || was && !p.from().isEmpty() && !m.version().equals(p.from());
    }

    private static KnownMember known(RolloutState now, Member m, KnownMember was, boolean changed) {
        return new KnownMember(
                m.address(),
                m.role(),
                m.zone(),
                m.kind(),
                m.cell(),
                was == null ? m.capacity() : full(now, m, was),
                Math.max(m.incarnation(), was == null ? 0 : was.incarnation()),
                changed);
    }

    private static KnownMember changed(KnownMember k, boolean changed) {
        return new KnownMember(
                k.address(), k.role(), k.zone(), k.kind(), k.cell(), k.warmCapacity(), k.incarnation(), changed);
    }

    /** While a release is on it only grows: what the release makes slow is to be missed. */
    private static double full(RolloutState now, Member m, KnownMember was) {
        return m.warm() && !now.inProgress() ? m.capacity() : Math.max(m.capacity(), was.warmCapacity());
    }

    private static void rename(RolloutStateBuilder d, String old, String name) {
        if (d.release != null && d.release.includes(old)) {
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

    private static RolloutStateBuilder retried(RolloutStateBuilder d) {
        if (d.release != null) {
            d.release = d.release.with(d.release.activePhase());
        }
        return d;
    }

    private static void newest(RolloutState now, long act) throws ReleaseRejectedException {
        if (now.controlVersion() != act) {
            throw refused(Reason.STALE, "another act or halt has come since");
        }
    }

    private static void calm(RolloutState now, long seen) throws ReleaseRejectedException {
        if (now.stabilityVersion() != seen) {
            throw refused(Reason.NOT_QUIET, "the fleet has changed since it was looked at");
        }
    }

    private static ReleaseRejectedException refused(Reason reason, String wrong) {
        return new ReleaseRejectedException(reason, wrong);
    }
}
