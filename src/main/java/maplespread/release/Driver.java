package maplespread.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.release.State.Known;
import maplespread.release.State.Leave;
import maplespread.release.State.Phase;
import maplespread.release.View.Member;
import maplespread.release.View.Role;
import maplespread.release.View.Service;
import maplespread.release.View.Status;

/**
 * One instance's part. Every instance has one and all do the same, staggered by their place among those that
 * serve; nobody leads. What depends on time is here, by this instance's own monotonic clock, and a new driver
 * begins every wait anew, as does one that stood still. What is proposed is decided by the newest state: a
 * driver that is late or wrong is refused there.
 */
public final class Driver {
    private static final long ENOUGH = 100; // answers, for shares and waits to be judged

    /**
     * {@code staggerMs}: by how much later each next instance acts; {@code missMs}: how long one has to be
     * seen out, or serving, before that is told; {@code beatMs}: how often somebody shows that there is a
     * majority; {@code splitMs}: without one for so long halts. One that has not looked for three times
     * {@code missMs} stood still.
     */
    public record Settings(long staggerMs, long missMs, long beatMs, long splitMs) {
        public static final Settings DEFAULT = new Settings(250, 1_000, 2_000, 10_000);
    }

    /**
     * {@code propose}: to the register, in this order and before the next look, a refusal is no fault;
     * {@code orders}: to be carried out; {@code again}: when to look again at the latest (a new state or
     * view: at once); {@code waits}: for what, in words, empty where nothing is on.
     */
    public record Next(List<Command> propose, List<Order> orders, long again, String waits) {}

    private final Settings set;
    private final String self;
    private long lookedAt;
    private long calm = -1;
    private long calmSince;
    private long acts = -1;
    private long aloneSince = -1;
    private State aloneAt;
    private long alone;
    private Service before;
    private Map<String, Long> since = new HashMap<>(); // what is waited for -> since when
    private Set<String> wanted = new HashSet<>();
    private final Set<Long> recalled = new HashSet<>();
    private State state;
    private View view;
    private long now;
    private long place;

    /** {@code self}: this dispatcher's member name; {@code now}: of a monotonic clock, in ms. */
    public Driver(Settings set, String self, long now) {
        this.set = set;
        this.self = self;
        lookedAt = now;
        calmSince = now;
    }

    /** {@link Order.Recall} of this leave was carried out: a later drain by it is refused there. */
    public void recalled(long leave) {
        recalled.add(leave);
    }

    /** Looks at the newest state known. {@code majority}: whether the last read or write reached one. */
    public Next look(long time, State newest, View seen, boolean majority) {
        now = time;
        state = newest;
        view = seen;
        wanted = new HashSet<>();
        if (now - lookedAt >= 3 * set.missMs) { // stood still: no wait was whole
            since.clear();
            calm = -1;
            aloneSince = -1;
        }
        lookedAt = now;
        if (state.calm() != calm) {
            calm = state.calm();
            calmSince = now;
        }
        // Worse is worse than before the release, or than when an operator let it go on.
        if (!state.on() || acts >= 0 && state.acts() != acts && state.halt() == null) {
            before = view.service();
        }
        acts = state.acts();
        place = view.members().stream()
                .filter(m -> m.role() == Role.DISPATCHER && m.serving() && m.id().compareTo(self) < 0)
                .count();
        majority(majority);
        List<Command> propose = new ArrayList<>();
        List<Order> orders = new ArrayList<>();
        String waits = "";
        boolean on = state.on();
        if (!majority) {
            waits = on ? "for a majority" : "";
        } else if (on || !state.inForce().isEmpty() || !state.leaves().isEmpty()) {
            halts(propose);
            seen(propose);
            back(propose);
            waits = !on ? "" : !propose.isEmpty() ? "for what was seen to be told" : goOn(propose);
            if (on && waited("beat " + state.beats(), set.beatMs, true)) {
                propose.add(Commands.beat(state.beats()));
            }
        }
        orders(orders);
        since.keySet().retainAll(wanted);
        recalled.removeIf(n -> state.leaves().values().stream().noneMatch(l -> l.number() == n) && n <= state.grants());
        return new Next(
                propose,
                orders,
                now + (on || !state.inForce().isEmpty() ? Math.min(set.staggerMs, set.missMs / 2) : set.missMs / 2),
                waits);
    }

    /** Whether this has been so for so long; staggered: and for as long again as stands before this place. */
    private boolean waited(String what, long ms, boolean staggered) {
        wanted.add(what);
        long wait = ms + (staggered ? place * set.staggerMs : 0);
        return now - since.computeIfAbsent(what, k -> now) >= wait;
    }

    private void majority(boolean majority) {
        alone = 0;
        if (!majority) {
            if (aloneSince < 0) {
                aloneSince = now;
                aloneAt = state;
            }
        } else if (aloneSince >= 0) {
            // Others may have had one meanwhile: then somebody has shown it.
            boolean none = state.beats() == aloneAt.beats()
                    && state.calm() == aloneAt.calm()
                    && state.grants() == aloneAt.grants();
            alone = none ? now - aloneSince : 0;
            aloneSince = -1;
        }
    }

    // ------------------------------------------------------------ what halts it by itself

    private void halts(List<Command> propose) {
        boolean moves = state.on() && state.halt() == null && state.release().moves() != Phase.ABANDONING;
        String why = !moves ? "" : halts();
        if (!why.isEmpty()) {
            propose.add(Commands.haltByItself(self, why, state.acts()));
        }
    }

    private String halts() {
        if (alone >= set.splitMs) {
            return "no majority for " + alone + " ms";
        }
        for (Limits l : state.inForce()) {
            String over = l.exceeded(state.members(), state.out());
            // Whatever the limit and the count: one more accident must not begin the wait anew.
            if (!over.isEmpty() && waited("over", set.missMs, false)) {
                return "limit exceeded: " + over;
            }
        }
        for (Map.Entry<String, Leave> l : state.leaves().entrySet()) {
            if (!l.getValue().release().isEmpty()
                    && waited("out " + l.getValue().number() + " " + state.acts(), state.backMs(), false)) {
                return l.getKey() + " is not back after " + state.backMs() + " ms";
            }
        }
        // What is bad because of the release must not stand in the way of taking it back.
        return state.release().moves() == Phase.RUNNING ? worse() : "";
    }

    private String worse() {
        Service is = view.service();
        Service was = before == null ? state.release().before() : before;
        if (is.samples() < ENOUGH || was.samples() < ENOUGH) {
            return "";
        }
        for (Limits l : state.inForce()) {
            if (is.refusedShare() > was.refusedShare() + l.worseRefused()) {
                return "refusals " + is.refusedShare() + ", before the release " + was.refusedShare();
            }
            if (is.errorShare() > was.errorShare() + l.worseErrors()) {
                return "errors " + is.errorShare() + ", before the release " + was.errorShare();
            }
            if (is.waitMs() > was.waitMs() * (1 + l.worseWait())) {
                return "waits " + is.waitMs() + " ms, before the release " + was.waitMs() + " ms";
            }
        }
        return "";
    }

    // ------------------------------------------------------------ what is seen

    private void seen(List<Command> propose) {
        List<String> out = new ArrayList<>();
        List<Member> serving = new ArrayList<>();
        for (Map.Entry<String, Known> k : state.members().entrySet()) {
            String id = k.getKey();
            Member m = view.member(id);
            boolean serves = m != null && m.serving();
            boolean told = state.accidents().containsKey(id);
            if (!serves && !told && !state.leaves().containsKey(id)) {
                if (waited("miss " + id, set.missMs, false) && waited("tell " + id, 0, true)) {
                    out.add(id);
                }
            } else if (serves
                    && (told
                            || state.on()
                                    && state.release().names(id)
                                    && m.run() > k.getValue().run()
                                    && !state.leaves().containsKey(id))) {
                if (waited("here " + id + " " + m.run(), set.missMs, true)) {
                    serving.add(m);
                }
            }
        }
        if (!out.isEmpty() || !serving.isEmpty()) {
            propose.add(Commands.observe(self, state.calm(), out, serving));
        }
        List<Member> put = new ArrayList<>();
        for (Member m : view.members()) {
            Known k = state.members().get(m.id());
            boolean grown = k != null
                    && m.warm()
                    && m.role() == Role.WORKER
                    && (m.capacity() > k.full() * 1.1 || !state.on() && m.capacity() < k.full() * 0.9);
            if (m.serving() && (k == null || grown) && waited("put " + m.id(), set.missMs, true)) {
                put.add(m);
            }
        }
        if (!put.isEmpty()) {
            propose.add(Commands.changeMembers(self, state.calm(), put));
        }
    }

    private void back(List<Command> propose) {
        state.leaves().forEach((id, l) -> {
            Member m = view.member(id);
            if (recalled.contains(l.number())) {
                propose.add(Commands.returned(self, l.number()));
            } else if (m != null
                    && m.serving()
                    && m.warm()
                    && m.run() > l.run()
                    && waited("back " + l.number(), 0, true)) {
                propose.add(Commands.back(self, l.number(), m));
            }
        });
    }

    // ------------------------------------------------------------ what comes next

    /** Leave for those whose turn it is, or the end. Returns for what it waits. */
    private String goOn(List<Command> propose) {
        if (state.halt() != null) {
            return "for an operator: halted by " + state.halt().by() + ", "
                    + state.halt().why();
        }
        int step = state.step();
        boolean opens = step != state.release().open();
        if (opens && now - calmSince < state.quietMs()) {
            return "for the quiet time";
        }
        String calmly = "leave " + state.calm() + " " + state.grants();
        if (step < 0) {
            return attempt(propose, Commands.finish(self, view), "finish " + state.calm());
        }
        String waits = "for those that are out";
        State then = state;
        List<Command> all = new ArrayList<>();
        for (String id : state.release().steps().get(step)) {
            if (state.todo().contains(id) && !state.leaves().containsKey(id)) {
                Command c = Commands.leave(self, id, state.calm(), view);
                try {
                    then = c.apply(then);
                    all.add(c);
                } catch (ReleaseRefused e) {
                    waits = e.wrong();
                }
            }
        }
        if (!all.isEmpty() && waited(calmly, 0, true)) {
            propose.addAll(all);
        }
        return waits;
    }

    private String attempt(List<Command> propose, Command c, String what) {
        try {
            c.apply(state);
            if (waited(what, 0, true)) {
                propose.add(c);
            }
            return "for its end to be told";
        } catch (ReleaseRefused e) {
            return e.wrong();
        }
    }

    /** This instance's own, and the workers': a dispatcher is drained by nobody but itself. */
    private void orders(List<Order> orders) {
        state.leaves().forEach((id, l) -> {
            Member m = view.member(id);
            boolean mine = id.equals(self) || m != null && m.role() == Role.WORKER;
            if (!mine || m == null || m.run() != l.run()) {
                return;
            }
            boolean by = !l.release().isEmpty();
            boolean back =
                    by && state.on() && !l.why().equals(state.release().moves().name());
            if (back && (m.serving() || m.status() == Status.DRAINING) || state.halt() != null && by && m.serving()) {
                orders.add(new Order.Recall(id, l.run(), l.number()));
            } else if (m.serving() && waited("order " + l.number(), 0, !id.equals(self))) {
                orders.add(new Order.Drain(id, l.run(), l.number()));
            }
        });
    }
}
