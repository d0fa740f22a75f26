package maplespread.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;
import maplespread.consensus.RegisterState.AppliedChange;
import maplespread.errors.FleetException;

/**
 * One member's part: its vote where it is an elector, its own changes, one after another, and the last value
 * that it knows to be decided. A run that begins is blind: it votes for nothing until it has read what a
 * majority knows. Words tell which runs their sender knows of; a vote of a run that is known to be over
 * counts for nothing, as the run after it may have forgotten it.
 */
public final class ConsensusNode {
    /** Most bytes of a value's text, as UTF-8. */
    public static final int MAX_TEXT_BYTES = 48 * 1024;

    private static final int MOST_RUNS = 512;
    private static final int LOST_WAITS = 4; // before a majority is called lost
    private static final int FRESH_ROUNDS = 6; // in which a decision is looked after
    private static final long LEAST_NEWS_STRETCH = 2; // of the time between two such rounds, later on
    private static final long MOST_NEWS_STRETCH = 10;

    /** What a caller asked for; one is in work at a time. */
    private static final class Job {
        final Mutation change; // READ with the other two
        final List<String> electors; // to move to or found with; null: neither
        final boolean founding;
        final long number, giveUpAt;
        final Consumer<ChangeResult> done;
        boolean tried; // votes were asked for its change
        long triedEpoch, triedVersion; // over which value, at first
        Exception refusal; // by the value that is in work

        Job(
                Mutation change,
                List<String> electors,
                boolean founding,
                long number,
                long giveUpAt,
                Consumer<ChangeResult> done) {
            this.change = change;
            this.electors = electors == null ? null : List.copyOf(electors);
            this.founding = founding;
            this.number = number;
            this.giveUpAt = giveUpAt;
            this.done = done;
        }
    }

    /** One try of the job under one ballot. */
    private static final class Try {
        final Ballot ballot;
        final long since, endAt;
        final Set<String> asked = new TreeSet<>();
        final Set<String> refused = new HashSet<>();
        final Map<String, ConsensusMessage> promises = new TreeMap<>();
        final Map<String, Long> accepted = new TreeMap<>(); // by which run
        final boolean life; // its epoch is above every one heard of
        RegisterState next; // null: promises are still awaited

        Try(Ballot ballot, boolean life, long since, long endAt) {
            this.ballot = ballot;
            this.life = life;
            this.since = since;
            this.endAt = endAt;
        }
    }

    private final ConsensusSettings set;
    private final long boot;
    private final long since;
    private final SplittableRandom random;
    private final ConsensusTransport sink;
    private final Map<String, Long> runs = new TreeMap<>(); // the newest known of each member
    private final Set<String> members = new TreeSet<>();
    private final Set<String> told = new HashSet<>(); // warnings that were given
    private final ArrayDeque<ConsensusMessage> toSelf = new ArrayDeque<>();
    // the vote
    private boolean recovering = true;
    private Ballot promised = Ballot.NONE;
    private AcceptedState accepted;
    private AcceptedState decidedValue; // decided
    private final Map<String, ConsensusMessage> answers = new TreeMap<>(); // while blind
    private final Map<String, Long> empty = new TreeMap<>(); // runs that kept nothing when asked
    private long askAt, askWait;
    private long newsAt, staleSince;
    private int freshNews; // rounds that still follow a decision
    // the proposer
    private final ArrayDeque<Job> jobs = new ArrayDeque<>();
    private Try open;
    private Ballot highest = Ballot.NONE;
    private long jobNumber, tries, tryAt;

    /** {@code boot}: Unix milliseconds, above that of every earlier run under this name. */
    public ConsensusNode(ConsensusSettings set, long boot, long seed, long now, ConsensusTransport sink) {
        this.set = set;
        this.boot = boot;
        this.sink = sink;
        since = now;
        random = new SplittableRandom(seed);
        runs.put(set.name(), boot);
        askAt = now;
        askWait = set.retryMs();
        newsAt = now + set.maxRetryMs();
        staleSince = Long.MAX_VALUE;
    }

    /** The last value known to be decided; null: none. */
    public VersionedValue decidedValue() {
        return decidedValue == null ? null : decidedValue.state().value();
    }

    /** Whether this run has not yet read what a majority knows. */
    public boolean recovering() {
        return recovering;
    }

    /**
     * What this run has voted for last, decided or not; null while it is blind or knows of nothing. Once a
     * value is decided, most electors have voted for it or for a later one.
     */
    public VersionedValue acceptedValue() {
        return recovering || accepted == null ? null : accepted.state().value();
    }

    /** The electors as this member knows them; two lists while a change is under way: each decides. */
    public List<List<String>> electors() {
        return lists(AcceptedState.isLater(accepted, decidedValue) ? accepted : decidedValue);
    }

    /** Who is there, electors or not: they are asked at the start, and told what is decided. */
    public void members(Collection<String> names) {
        members.clear();
        members.addAll(names);
        members.remove(set.name());
    }

    // ------------------------------------------------------------ what callers want

    /** A change; {@code done} hears of it once, within a call of this object. */
    public void change(long at, Mutation c, long giveUpAt, Consumer<ChangeResult> done) {
        add(at, new Job(c, null, false, ++jobNumber, giveUpAt, done));
    }

    /** Moves to these electors, one at a time, those that are new first. */
    public void electors(long at, List<String> next, long giveUpAt, Consumer<ChangeResult> done) {
        add(at, new Job(Mutation.READ, checked(next), false, ++jobNumber, giveUpAt, done));
    }

    /**
     * Begins a life anew, over the newest value that anybody who answers has, with a majority of these
     * electors, blind ones too. Only where no majority of the electors in force can be read any more: what
     * nobody who answers knows is lost. {@code wallMs}: Unix time, for the epoch.
     */
    public void bootstrap(long at, long wallMs, List<String> electors, long giveUpAt, Consumer<ChangeResult> done) {
        Job job = new Job(Mutation.READ, checked(electors), true, ++jobNumber, giveUpAt, done);
        job.triedEpoch = wallMs;
        add(at, job);
    }

    private static List<String> checked(List<String> electors) {
        if (electors.isEmpty() || Set.copyOf(electors).size() < electors.size()) {
            throw new IllegalArgumentException("electors must be named, each once: " + electors);
        }
        return electors;
    }

    private void add(long at, Job job) {
        jobs.add(job);
        tick(at);
    }

    // ------------------------------------------------------------ time

    /** Does what is due; returns when to be called again at the latest. */
    public long tick(long at) {
        if (recovering && at >= askAt) {
            ask();
            askWait = Math.min(set.maxRetryMs(), 2 * askWait);
            askAt = at + askWait;
        }
        if (recovering) {
            trySee(at);
        }
        for (Job j : List.copyOf(jobs)) {
            if (at >= j.giveUpAt) {
                if (j == jobs.peek()) {
                    open = null;
                    tries = 0;
                }
                if (!jobs.remove(j)) {
                    continue; // by what another one's end has called
                }
                j.done.accept(new ChangeResult(
                        ChangeResult.Outcome.NO_MAJORITY,
                        decidedValue(),
                        new QuorumLostException("no majority of " + lists(decidedValue) + " decided in time")));
            }
        }
        if (open != null && open.next == null && jobs.peek().founding) {
            tryPropose(at); // waited for those who are slow
        }
        if (open != null && at >= open.endAt) {
            failed(at);
        }
        nudge(at);
        if (open == null && !jobs.isEmpty() && at >= tryAt) {
            begin(at, false);
        }
        if (freshNews > 0) {
            newsAt = Math.min(newsAt, at + set.maxRetryMs());
        }
        if (at >= newsAt) {
            newsAt = at + newsMs();
            news(new ArrayList<>(members));
            List<String> electors = new ArrayList<>(names(lists(decidedValue)));
            electors.remove(set.name());
            news(electors);
        }
        drain(at);
        return nextAt(at);
    }

    private long nextAt(long at) {
        long next = newsAt;
        if (recovering) {
            next = Math.min(next, askAt);
        }
        for (Job j : jobs) {
            next = Math.min(next, j.giveUpAt);
        }
        if (open != null) {
            next = Math.min(next, jobs.peek().founding ? at + set.retryMs() : open.endAt);
        } else if (!jobs.isEmpty()) {
            next = Math.min(next, tryAt);
        }
        return Math.max(next, at + 1);
    }

    /**
     * Until the next look for members that lack a decision: soon while one is fresh, else the later the more members
     * there are for each elector, so that what an elector hears does not grow with the fleet.
     */
    private long newsMs() {
        if (freshNews > 0) {
            freshNews--;
            return set.maxRetryMs();
        }
        int electors = names(lists(decidedValue)).size();
        long stretch = Math.max(LEAST_NEWS_STRETCH, Math.min(MOST_NEWS_STRETCH, members.size() / electors));
        return stretch * set.maxRetryMs();
    }

    private void news(List<String> among) {
        if (!among.isEmpty()) {
            String to = among.get(random.nextInt(among.size()));
            send(to, Kind.DECIDED_BALLOT, decidedValue == null ? Ballot.NONE : decidedValue.ballot(), null);
        }
    }

    /** Whoever proposed what is kept here may be gone: after a while an elector finishes it. */
    private void nudge(long at) {
        boolean stale = !recovering
                && accepted != null
                && names(accepted.state().electorLists()).contains(set.name())
                && (decidedValue == null
                        || !decidedValue.state().equals(accepted.state())
                        || !accepted.state().previousElectors().isEmpty());
        if (!stale || !jobs.isEmpty()) {
            staleSince = Long.MAX_VALUE;
        } else if (staleSince == Long.MAX_VALUE) {
            staleSince = at + random.nextLong(set.maxRetryMs());
        } else if (at > staleSince + set.maxRetryMs()) {
            staleSince = Long.MAX_VALUE;
            jobs.add(new Job(Mutation.READ, null, false, ++jobNumber, at + 4 * set.maxRetryMs(), r -> {}));
        }
    }

    // ------------------------------------------------------------ words

    private ConsensusMessage word(
            Kind kind, Ballot ballot, boolean founding, long asker, Map<String, Long> quorum, AcceptedState held) {
        return new ConsensusMessage(
                kind,
                set.name(),
                boot,
                vector(),
                ballot,
                promised,
                recovering,
                founding,
                asker,
                set.electors(),
                quorum,
                held);
    }

    /**
     * The crash vector: the newest known runs of all whose votes may count, and of no other member, so that a word's
     * size does not grow with the fleet.
     */
    private Map<String, Long> vector() {
        Set<String> names = names(lists(accepted));
        names.addAll(names(lists(decidedValue)));
        names.addAll(set.electors());
        names.add(set.name());
        if (open != null) {
            names.addAll(open.asked);
        }
        Map<String, Long> vector = new TreeMap<>(runs);
        vector.keySet().retainAll(names);
        return vector;
    }

    private void send(String to, Kind kind, Ballot ballot, AcceptedState held) {
        send(to, word(kind, ballot, false, 0, Map.of(), held));
    }

    private void send(String to, ConsensusMessage w) {
        if (to.equals(set.name())) {
            toSelf.add(w);
        } else {
            sink.send(to, w);
        }
    }

    /** Once for each of its kind and what it names. */
    private void warn(String name, Object... pairs) {
        if (told.add(name + List.of(pairs))) {
            sink.event(true, name, pairs);
        }
    }

    /** A word came, of one who is known to have sent it. */
    public void received(long at, ConsensusMessage w) {
        if (w.sender().equals(set.name())) {
            warn("agreement.name_taken_twice", "boot", w.incarnation());
            return;
        }
        take(at, w);
        tick(at);
    }

    private void drain(long at) {
        while (!toSelf.isEmpty()) {
            take(at, toSelf.remove());
        }
    }

    private void take(long at, ConsensusMessage w) {
        learn(w.sender(), w.incarnation());
        w.crashVector().forEach(this::learn);
        w.promiseQuorum().forEach(this::learn);
        if (w.incarnation() < runs.get(w.sender())) {
            return; // of a run that is over
        }
        highest = Ballot.max(highest, w.promisedBallot());
        switch (w.kind()) {
            case RECOVERY_REQUEST ->
                send(w.sender(), word(Kind.RECOVERY_RESPONSE, Ballot.NONE, false, w.incarnation(), Map.of(), accepted));
            case RECOVERY_RESPONSE -> {
                if (recovering && w.requesterIncarnation() == boot) {
                    answers.put(w.sender(), w);
                    if (w.accepted() == null && sameSettings(w)) {
                        empty.put(w.sender(), w.incarnation());
                    }
                }
            }
            case PREPARE -> prepare(w);
            case PROMISE -> {
                if (open != null && open.next == null && open.ballot.equals(w.ballot())) {
                    open.promises.put(w.sender(), w);
                    tryPropose(at);
                }
            }
            case ACCEPT -> accept(at, w);
            case ACCEPTED -> {
                if (open != null && open.next != null && open.ballot.equals(w.ballot())) {
                    open.accepted.put(w.sender(), w.incarnation());
                    tryDecide(at);
                }
            }
            case REFUSE -> {
                if (open != null && open.ballot.equals(w.ballot())) {
                    refused(at, w);
                }
            }
            case DECIDED -> decided(w.accepted());
            case DECIDED_BALLOT -> {
                int by = w.ballot().compareTo(decidedValue == null ? Ballot.NONE : decidedValue.ballot());
                if (by < 0) {
                    send(w.sender(), Kind.DECIDED, decidedValue.ballot(), decidedValue);
                } else if (by > 0) {
                    send(
                            w.sender(),
                            Kind.DECIDED_BALLOT,
                            decidedValue == null ? Ballot.NONE : decidedValue.ballot(),
                            null);
                }
            }
        }
    }

    private void learn(String name, long run) {
        if (run > runs.getOrDefault(name, 0L)) {
            if (name.equals(set.name())) {
                warn("agreement.name_taken_twice", "boot", run); // nothing of this run counts any more
            }
            runs.put(name, run);
            if (runs.size() > MOST_RUNS) { // names that come and go
                Set<String> keep = names(lists(accepted));
                keep.addAll(members);
                keep.addAll(set.electors());
                keep.add(set.name());
                keep.add(name);
                runs.keySet().retainAll(keep);
            }
        }
    }

    /** Whether this run of the member is the newest known. */
    private boolean current(String name, long run) {
        return runs.getOrDefault(name, 0L) == run;
    }

    // ------------------------------------------------------------ the lists

    private List<List<String>> lists(AcceptedState held) {
        return held == null ? List.of(set.electors()) : held.state().electorLists();
    }

    private static Set<String> names(List<List<String>> lists) {
        Set<String> names = new TreeSet<>();
        lists.forEach(names::addAll);
        return names;
    }

    private static boolean majorities(List<List<String>> lists, Set<String> of) {
        return lists.stream().allMatch(l -> 2 * l.stream().filter(of::contains).count() > l.size());
    }

    private static boolean same(List<String> a, List<String> b) {
        return Set.copyOf(a).equals(Set.copyOf(b));
    }

    // ------------------------------------------------------------ a run that begins

    private void ask() {
        Set<String> to = names(lists(decidedValue));
        to.addAll(set.electors());
        to.addAll(members);
        to.remove(set.name());
        to.forEach(n -> send(n, Kind.RECOVERY_REQUEST, Ballot.NONE, null));
    }

    /**
     * Sees again what this run's predecessors may have voted for, once a majority of the electors in force,
     * itself not counted, has told what it knows: whatever was decided is among it, and whoever answered
     * will tell that the runs before are over.
     */
    private void trySee(long at) {
        Set<String> sighted = new TreeSet<>();
        AcceptedState newest = accepted;
        Ballot top = promised;
        answers.values().removeIf(w -> !current(w.sender(), w.incarnation()));
        for (ConsensusMessage w : answers.values()) {
            newest = AcceptedState.isLater(w.accepted(), newest) ? w.accepted() : newest;
            top = Ballot.max(top, w.promisedBallot());
        }
        for (ConsensusMessage w : answers.values()) {
            if (!w.recovering() && (newest != null || sameSettings(w))) {
                sighted.add(w.sender());
            }
        }
        sighted.remove(set.name());
        List<List<String>> lists = lists(newest);
        if (majorities(lists, sighted)) {
            see(newest, top, "read");
        } else if (newest == null
                && set.electors().contains(set.name())
                && at - since >= set.maxRetryMs()
                && set.electors().stream()
                        .allMatch(n -> n.equals(set.name()) || current(n, empty.getOrDefault(n, -1L)))) {
            // No elector had taken anything when it was asked; what it did since, it did knowing of this run.
            see(null, top, "new");
        } else if (newest != null
                && at - since > LOST_WAITS * set.maxRetryMs()
                && answers.keySet().containsAll(others(lists))) {
            warn("agreement.lost", "epoch", newest.state().value().epoch(), "electors", lists);
        }
    }

    private Set<String> others(List<List<String>> lists) {
        Set<String> names = names(lists);
        names.remove(set.name());
        return names;
    }

    private boolean sameSettings(ConsensusMessage w) {
        if (!same(w.configuredElectors(), set.electors())) {
            warn(
                    "agreement.electors_differ",
                    "member",
                    w.sender(),
                    "theirs",
                    w.configuredElectors(),
                    "here",
                    set.electors());
            return false;
        }
        return true;
    }

    private void see(AcceptedState newest, Ballot top, String how) {
        accepted = newest;
        promised = top;
        recovering = false;
        answers.clear();
        sink.event(
                false,
                "agreement.sighted",
                "by",
                how,
                "version",
                newest == null ? null : newest.state().value().version());
    }

    // ------------------------------------------------------------ the vote

    private void refuse(ConsensusMessage w) {
        send(w.sender(), Kind.REFUSE, w.ballot(), null);
    }

    private void prepare(ConsensusMessage w) {
        if (recovering && !w.bootstrap() || accepted == null && !w.bootstrap() && !sameSettings(w)) {
            return;
        }
        if (w.ballot().compareTo(promised) < 0) {
            refuse(w);
            return;
        }
        promised = w.ballot();
        send(w.sender(), Kind.PROMISE, w.ballot(), accepted);
    }

    private void accept(long at, ConsensusMessage w) {
        // Promises of a run that is over may be forgotten: a try that rests on one must begin anew.
        boolean rests = w.promiseQuorum().entrySet().stream().allMatch(q -> current(q.getKey(), q.getValue()));
        // A blind one may have forgotten what it promised, but not to a try that its promise was counted for.
        if (recovering && !(w.bootstrap() && w.promiseQuorum().containsKey(set.name()))) {
            return;
        }
        if (!rests || w.ballot().compareTo(promised) < 0) {
            refuse(w);
            return;
        }
        promised = w.ballot();
        accepted = new AcceptedState(w.ballot(), w.accepted().state());
        if (recovering) {
            see(accepted, promised, "found");
        }
        send(w.sender(), Kind.ACCEPTED, w.ballot(), null);
    }

    /** What is decided is kept as if it had been voted for; and no earlier ballot is promised after it. */
    private void decided(AcceptedState held) {
        if (AcceptedState.isLater(held, accepted)) {
            accepted = held;
            promised = Ballot.max(promised, held.ballot());
        }
        highest = Ballot.max(highest, held.ballot());
        VersionedValue v = held.state().value();
        VersionedValue before = decidedValue();
        if (v.isLaterThan(before)) {
            decidedValue = held;
            freshNews = FRESH_ROUNDS;
            if (before != null && before.epoch() != v.epoch()) {
                sink.event(
                        true,
                        "agreement.epoch",
                        "epoch",
                        v.epoch(),
                        "version",
                        v.version(),
                        "before",
                        before.epoch(),
                        "known_version",
                        before.version());
            }
            if (before != null && before.electorsVersion() != v.electorsVersion()) {
                sink.event(false, "agreement.electors", "number", v.electorsVersion(), "electors", v.electors());
            }
            sink.learned(v);
        } else if (v.equals(before) && AcceptedState.isLater(held, decidedValue)) {
            decidedValue = held;
        }
    }

    // ------------------------------------------------------------ a try

    private long waitMs() {
        return Math.min(set.maxRetryMs(), set.retryMs() << Math.min(tries, 10));
    }

    /** {@code life}: nobody is known to keep anything; what is decided is to be a life of its own. */
    private void begin(long at, boolean life) {
        Job job = jobs.peek();
        Ballot after = Ballot.max(highest, promised);
        long epoch = after.epoch();
        if (job.founding) {
            epoch = Math.max(job.triedEpoch, epoch + 1);
        } else if (life) {
            epoch = Math.max(newestRun(), epoch + 1);
        }
        Ballot ballot = new Ballot(epoch, epoch > after.epoch() ? 1 : after.round() + 1, set.name(), boot);
        highest = ballot;
        open = new Try(ballot, life, at, at + (job.founding ? 2 * set.maxRetryMs() : waitMs()));
        Set<String> to = names(electors());
        if (job.founding) {
            to.addAll(job.electors);
            to.addAll(members);
            to.add(set.name()); // no elector perhaps, and alone in knowing
        }
        prepareAt(to);
    }

    private long newestRun() {
        return set.electors().stream()
                .mapToLong(n -> runs.getOrDefault(n, 0L))
                .max()
                .orElse(0);
    }

    private void prepareAt(Set<String> names) {
        for (String name : names) {
            if (open.asked.add(name)) {
                send(name, word(Kind.PREPARE, open.ballot, jobs.peek().founding, 0, Map.of(), null));
            }
        }
    }

    private void failed(long at) {
        open = null;
        tryAt = at + 1 + random.nextLong(waitMs());
        tries++;
    }

    /** Where those that refuse leave no majority, waiting on is in vain. */
    private void refused(long at, ConsensusMessage w) {
        open.refused.add(w.sender());
        List<List<String>> lists = open.next != null
                ? open.next.electorLists()
                : jobs.peek().founding ? List.of(jobs.peek().electors) : lists(newest());
        Set<String> left = new HashSet<>(open.asked);
        left.addAll(names(lists));
        left.removeAll(open.refused);
        if (!majorities(lists, left)) {
            failed(at);
        }
    }

    /** The newest that a promise of the try tells; null: nothing. */
    private AcceptedState newest() {
        AcceptedState newest = null;
        for (ConsensusMessage w : open.promises.values()) {
            newest = AcceptedState.isLater(w.accepted(), newest) ? w.accepted() : newest;
        }
        return newest;
    }

    private void tryPropose(long at) {
        Job job = jobs.peek();
        open.promises.values().removeIf(w -> !current(w.sender(), w.incarnation()));
        AcceptedState newest = newest();
        List<List<String>> lists = job.founding ? List.of(job.electors) : lists(newest);
        prepareAt(names(lists));
        Set<String> yes = open.promises.keySet();
        if (!majorities(lists, yes) || job.founding && at - open.since < set.maxRetryMs()) {
            return;
        }
        if (newest == null && !job.founding && !open.life) {
            begin(at, true); // nobody knows anything
            return;
        }
        RegisterState base = newest != null
                ? newest.state()
                : new RegisterState(
                        new VersionedValue(open.ballot.epoch(), 0, "", 0, set.electors()), List.of(), List.of());
        RegisterState next = job.founding ? founded(job, newest, base) : next(job, base);
        if (next == null) {
            return;
        }
        Set<String> added = names(next.electorLists());
        base.electorLists().forEach(added::removeAll);
        if (!majorities(next.electorLists(), yes) || !job.founding && !yes.containsAll(added)) {
            prepareAt(names(next.electorLists())); // one who does not answer must not be let in
            return;
        }
        Map<String, Long> quorum = new TreeMap<>();
        open.promises.forEach((n, w) -> quorum.put(n, w.incarnation()));
        open.next = next;
        ConsensusMessage w =
                word(Kind.ACCEPT, open.ballot, job.founding, 0, quorum, new AcceptedState(open.ballot, next));
        names(next.electorLists()).forEach(n -> send(n, w));
    }

    /** What a life begins with; null where there is nothing to begin, and the job is over. */
    private RegisterState founded(Job job, AcceptedState newest, RegisterState base) {
        if (newest != null
                && job.tried
                && base.value().epoch() >= job.triedEpoch
                && same(base.value().electors(), job.electors)) {
            return base; // an earlier try of the same came through
        }
        Set<String> sighted = new HashSet<>();
        open.promises.forEach((n, w) -> {
            if (!w.recovering()) {
                sighted.add(n);
            }
        });
        if (majorities(lists(newest), sighted)) {
            finish(new ChangeResult(
                    ChangeResult.Outcome.REJECTED,
                    decidedValue(),
                    new ChangeRejectedException(
                            "a majority of the electors is sighted",
                            "changes are decided as always",
                            "nothing need be founded; electors are changed by call")));
            return null;
        }
        if (!job.tried) {
            job.tried = true;
            job.triedEpoch = open.ballot.epoch();
        }
        VersionedValue v = base.value();
        return new RegisterState(
                new VersionedValue(
                        open.ballot.epoch(), v.version() + 1, v.text(), v.electorsVersion() + 1, job.electors),
                List.of(),
                base.appliedChanges());
    }

    /** What is to follow; null where that cannot be told any more, and the job is over. */
    private RegisterState next(Job job, RegisterState base) {
        VersionedValue v = base.value();
        // Old electors end only where a majority of them is known to have taken the new: else who asks them
        // alone would never hear of those. The next step begins only after that.
        boolean decided = decidedValue != null && decidedValue.state().equals(base);
        List<String> before = decided ? List.of() : base.previousElectors();
        List<String> electors = v.electors();
        List<AppliedChange> done = base.appliedChanges();
        String text = v.text();
        long number = v.electorsVersion();
        job.refusal = null;
        if (job.electors != null && base.previousElectors().isEmpty() && !same(electors, job.electors)) {
            before = electors;
            electors = step(electors, job.electors);
            number++;
        }
        if (job.change != Mutation.READ && !base.hasApplied(set.name(), boot, job.number)) {
            if (job.tried
                    && (v.epoch() != job.triedEpoch
                            || v.version() - job.triedVersion >= RegisterState.MAX_APPLIED_CHANGES)) {
                finish(new ChangeResult(
                        ChangeResult.Outcome.NO_MAJORITY,
                        decidedValue(),
                        new QuorumLostException(
                                "a change met others for so long that none can tell whether it is in")));
                return null;
            }
            try {
                text = job.change.apply(v);
                int bytes = text.getBytes(StandardCharsets.UTF_8).length;
                if (bytes > MAX_TEXT_BYTES) {
                    throw new ValueTooLargeException(bytes, MAX_TEXT_BYTES);
                }
            } catch (FleetException | RuntimeException e) {
                text = v.text();
                job.refusal = e; // told once what it rests on is decided
            }
        }
        if (text.equals(v.text()) && before.equals(base.previousElectors()) && electors.equals(v.electors())) {
            return base;
        }
        if (!text.equals(v.text())) {
            done = base.withApplied(new AppliedChange(set.name(), boot, job.number, v.version() + 1));
            if (!job.tried) {
                job.tried = true;
                job.triedEpoch = v.epoch();
                job.triedVersion = v.version();
            }
        }
        return new RegisterState(new VersionedValue(v.epoch(), v.version() + 1, text, number, electors), before, done);
    }

    /** One elector more, or where there is none to add, one less. */
    private static List<String> step(List<String> from, List<String> to) {
        List<String> next = new ArrayList<>(from);
        for (String name : to) {
            if (!from.contains(name)) {
                next.add(name);
                return next;
            }
        }
        next.remove(from.stream().filter(n -> !to.contains(n)).findFirst().orElseThrow());
        return next;
    }

    private void tryDecide(long at) {
        open.accepted.entrySet().removeIf(e -> !current(e.getKey(), e.getValue()));
        if (!majorities(open.next.electorLists(), open.accepted.keySet())) {
            return;
        }
        AcceptedState held = new AcceptedState(open.ballot, open.next);
        Job job = jobs.peek();
        open = null;
        tries = 0;
        tryAt = at;
        boolean unchanged = decidedValue != null && decidedValue.state().equals(held.state());
        decided(held);
        Set<String> all = others(held.state().electorLists());
        if (!unchanged) { // a read is news to nobody
            all.addAll(members);
        }
        all.forEach(n -> send(n, Kind.DECIDED, held.ballot(), held));
        RegisterState kept = held.state();
        if (job.electors != null
                && !job.founding
                && !(kept.previousElectors().isEmpty() && same(kept.value().electors(), job.electors))) {
            return; // another step is to follow
        }
        finish(new ChangeResult(
                job.refusal != null ? ChangeResult.Outcome.REJECTED : ChangeResult.Outcome.DECIDED,
                kept.value(),
                job.refusal));
    }

    private void finish(ChangeResult result) {
        open = null;
        tries = 0;
        jobs.remove().done.accept(result);
    }

    /** The vote and the try that is open, for logs. */
    @Override
    public String toString() {
        String out = open == null
                ? "none"
                : open.ballot + " promises " + open.promises.values() + " next " + open.next + " accepted "
                        + open.accepted + " refused " + open.refused;
        return set.name() + ' ' + boot + (recovering ? " blind " + answers + empty : "") + " promised " + promised
                + " accepted " + accepted + " known " + decidedValue + " runs " + runs + " highest " + highest
                + " jobs "
                + jobs.size() + " open " + out;
    }
}
