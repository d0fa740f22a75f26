package maplespread.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Follows one registry: says what to ask next, hears what came of it, and keeps its parts of the view. One
 * call is out at a time. Not for several threads at once.
 *
 * <p>The methods that hear return whether the call may go on; where they say no, the shell ends it and tells
 * {@link CallOutcome#STOPPED}.
 */
public final class RegistryWatcher {
    /**
     * REBUILDING: all keys are read, page by page, while the view held so far stays. CHECKING: a watch has
     * ended; whether the registry's history is still the one that the view is of. CATCHING_UP: it is, and has
     * gone on; what was missed is read and not left to the next watch, which may be as silent as the last.
     * FOLLOWING: changes come as they are made, from the revision after the last whole one.
     */
    public enum Phase {
        REBUILDING,
        CHECKING,
        CATCHING_UP,
        FOLLOWING
    }

    private static final long NONE = Long.MIN_VALUE;
    private static final int MOST_PAGE_GROWTH = 16;
    private static final int MOST_DOUBLINGS = 5;
    private static final long REBUILD_BASE_MS = 20, REBUILD_CAP_MS = 200, REBUILD_PEER_MS = 50;
    private static final long REBUILD_MOST_MS = 1000;
    private static final long SLOW_ANSWER_MS = 3000; // where answer_ms has been too little
    private static final int SPREAD = 4; // silences differ by a quarter

    /** A rebuild under way. */
    private final class Paging {
        final List<Map<String, RegistryEntry>> fresh = new ArrayList<>();
        final long startedAt;
        final int endpoint;
        long wordAt; // its first page came then
        String after = "";
        Revision history;

        Paging(long now, int endpoint) {
            startedAt = now;
            this.endpoint = endpoint;
            fresh.add(new LinkedHashMap<>());
        }
    }

    private final RegistrySettings settings;
    private final boolean whole;
    private final int firstPart, parts;
    private final EndpointView view;
    private final RegistryListener sink;
    private final RequestRateLimiter pace;
    private final RegistryServerSelector endpoints;

    private Phase phase = Phase.REBUILDING;
    private Revision held; // null: nothing has been read yet
    private String gone; // the newest change's key, if it deleted it
    private int goneFrom;
    private final long[] at; // by part: all up to it is held
    private final List<List<RegistryEntry>> fragments = new ArrayList<>();
    private Paging paging;
    private int onPage;
    private final long rebuildCap; // a drain may lie unread for as long
    private long rebuildAt, rebuildRest;
    private long doubtSince = NONE;
    private boolean otherHistory; // the doubt is over: it is another one
    private boolean proved; // and no answer can change that any more
    private boolean consistent; // Consul: ask the leader itself for all
    private long preferAt = Long.MAX_VALUE;
    private int preferred; // tries of a better endpoint since it served
    private final long[] wordAt; // by part: nothing was missing then
    private long askedAt, silence;
    private int onWatchCreated; // watches of the stream that are on
    private int silent; // calls without an answer, in a row
    private int onHistoryVerified; // the endpoint that was checked last
    private boolean stale;
    private boolean denied;
    private boolean broke; // since the last event about the watch
    private RegistryCall out;

    /**
     * Follows the parts from {@code firstPart} on, so many of them. {@code peers}: dispatchers that share the
     * registry and so the requests that it is to bear. {@code now}: this core's first moment.
     */
    public RegistryWatcher(
            RegistrySettings settings,
            int firstPart,
            int parts,
            int peers,
            EndpointView view,
            long seed,
            long now,
            RegistryListener sink) {
        this.settings = settings;
        this.whole = settings.dialect().returnsFullSnapshots();
        this.firstPart = firstPart;
        this.parts = parts;
        this.view = view;
        this.sink = sink;
        SplittableRandom random = new SplittableRandom(seed);
        pace = new RequestRateLimiter((double) settings.requestsPerS() / Math.max(1, peers), random);
        endpoints = new RegistryServerSelector(settings.endpoints().size(), pace);
        rebuildCap = Math.min(REBUILD_MOST_MS, REBUILD_CAP_MS + REBUILD_PEER_MS * (peers - 1L));
        onPage = settings.page();
        at = new long[parts];
        wordAt = new long[parts];
        Arrays.fill(wordAt, now);
        for (int i = 0; i < parts; i++) {
            fragments.add(new ArrayList<>());
        }
        phase = whole ? Phase.FOLLOWING : Phase.REBUILDING;
        if (!settings.rateKeepsStalenessLimit(peers)) {
            sink.eventOccurred(
                    true,
                    "registry.share_small",
                    "key",
                    "registry.requests_per_s",
                    "requests_per_s",
                    settings.requestsPerS(),
                    "dispatchers",
                    peers,
                    "answer_ms",
                    settings.answerMs());
        }
    }

    public Phase phase() {
        return phase;
    }

    /** When nothing was last missing from what is held, in its part that is worst off. */
    public long confirmedAtMs() {
        long least = wordAt[0];
        for (long at : wordAt) {
            least = Math.min(least, at);
        }
        return least;
    }

    /**
     * When the call that is out is silent: without its whole answer, or, where a watch is on, without a line
     * for each of its parts. A part that speaks says nothing of another.
     */
    public long callTimeoutAtMs() {
        // A registry that is slower than answer_ms is to be followed all the same, late as it is.
        long answer = Math.max(
                settings.answerMs(),
                Math.min(SLOW_ANSWER_MS, settings.answerMs() << Math.min(MOST_DOUBLINGS, silent / endpoints.size())));
        long limit = askedAt + settings.dialMs() + answer;
        if (out instanceof RegistryCall.BlockingQuery q && q.index() > 0) {
            return limit + q.waitMs() + q.waitMs() / RegistrySettings.CONSUL_EXTRA;
        }
        return out instanceof RegistryCall.Watch && onWatchCreated == parts
                ? Math.max(askedAt, confirmedAtMs()) + silence
                : limit;
    }

    /** Whether the token is refused. */
    public boolean denied() {
        return denied;
    }

    /** The revision up to which all is held; 0: nothing yet. */
    public long revision() {
        return held == null ? 0 : held.number();
    }

    // ------------------------------------------------------------ what to do next

    /** Whatever is to be done now. */
    public RegistryCall nextCall(long now) {
        if (!stale && held != null && now - confirmedAtMs() > settings.stalenessLimitMs()) {
            stale = true;
            sink.eventOccurred(
                    true,
                    "registry.stale",
                    "endpoint",
                    endpointName(),
                    "revision",
                    revision(),
                    "unheard_ms",
                    now - confirmedAtMs());
        }
        int endpoint = endpoints.select(now);
        if (endpoint < 0) {
            return new RegistryCall.Pause(Math.max(now + 1, endpoints.earliestRetryAtMs()));
        }
        if (paging != null && paging.endpoint != endpoint) {
            beginAgain(); // the pages would be of two members
        }
        if (phase == Phase.CATCHING_UP && onHistoryVerified != endpoint) {
            phase = Phase.CHECKING; // the check was of another member
        }
        if (phase == Phase.REBUILDING && paging == null && now < rebuildAt) {
            return new RegistryCall.Pause(rebuildAt);
        }
        long later = pace.acquire(now);
        if (later > 0) {
            return new RegistryCall.Pause(later);
        }
        if (endpoint > 0 && preferAt == Long.MAX_VALUE) {
            // A better endpoint that fails whenever it is tried costs a while of blindness each time.
            preferAt = now + pace.jittered(settings.preferAgainMs() << Math.min(preferred, MOST_DOUBLINGS));
        }
        askedAt = now;
        out = whole
                ? question(endpoint)
                : switch (phase) {
                    case REBUILDING -> range(endpoint, now);
                    case CHECKING -> check(endpoint);
                    case CATCHING_UP ->
                        new RegistryCall.ReadMissedChanges(
                                endpoint, Arrays.stream(at).boxed().toList());
                    case FOLLOWING -> watch(endpoint);
                };
        return out;
    }

    private RegistryCall question(int endpoint) {
        // After a break all is read at once: a registry restored meanwhile may stand at the same index.
        long index = consistent || broke || held == null ? 0 : at[0];
        return new RegistryCall.BlockingQuery(
                endpoint, firstPart, index, pace.shortened(settings.askedWaitMs(), SPREAD), consistent);
    }

    private RegistryCall range(int endpoint, long now) {
        if (paging == null) {
            paging = new Paging(now, endpoint);
            rebuildRest = now - rebuildAt > 2 * rebuildCap ? 0 : rebuildRest;
            rebuildRest = pace.nextBackoffMs(REBUILD_BASE_MS, rebuildRest, rebuildCap);
            rebuildAt = now + rebuildRest;
        }
        return new RegistryCall.RangePage(
                endpoint,
                firstPart + paging.fresh.size() - 1,
                paging.after,
                paging.history == null ? 0 : paging.history.number(),
                onPage);
    }

    private RegistryCall check(int endpoint) {
        List<RegistryCall.HistoryProof> proofs = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            proofs.add(new RegistryCall.HistoryProof(at[i], view.newestKey(firstPart + i)));
        }
        return new RegistryCall.VerifyHistory(endpoint, proofs, gone, gone == null ? 0 : at[goneFrom]);
    }

    private RegistryCall watch(int endpoint) {
        fragments.forEach(List::clear); // half a revision is none
        onWatchCreated = 0;
        silence = pace.shortened(settings.silenceMs(), SPREAD);
        List<Long> from = new ArrayList<>();
        for (long done : at) {
            from.add(done + 1);
        }
        return new RegistryCall.Watch(endpoint, from, endpoint > 0 ? preferAt : Long.MAX_VALUE);
    }

    /** The token has changed: what was refused may be granted now. */
    public void onTokenChanged(long now) {
        denied = false;
        endpoints.clearBackoffs(now);
    }

    // ------------------------------------------------------------ what came

    /** A page of the present range. {@code more}: keys are left behind its last one. */
    public boolean onPage(long now, Revision history, List<RegistryEntry> items, boolean more) {
        if (!trusted(now, history)) {
            return false;
        }
        if (paging.history != null && !paging.history.mayPrecede(history)) {
            return onFutureRevision(now, history); // the pages would be of two registries
        }
        if (paging.history == null) {
            paging.history = history;
            paging.wordAt = now;
        }
        Map<String, RegistryEntry> fresh = paging.fresh.get(paging.fresh.size() - 1);
        for (RegistryEntry item : items) {
            fresh.put(item.key(), item);
        }
        if (more && !items.isEmpty()) {
            paging.after = items.get(items.size() - 1).key();
        } else if (paging.fresh.size() < parts) {
            paging.fresh.add(new LinkedHashMap<>());
            paging.after = "";
        } else {
            rebuilt(now);
        }
        return true;
    }

    private void rebuilt(long now) {
        Revision next = paging.history;
        boolean first = held == null;
        boolean other = !first && (otherHistory || proved);
        for (int i = 0; i < parts && !first && !other; i++) {
            if (view.contradicts(firstPart + i, paging.fresh.get(i), at[i])) {
                other = true;
                sink.eventOccurred(
                        true,
                        "registry.history_changed",
                        "endpoint",
                        endpointName(),
                        "revision",
                        next.number(),
                        "held",
                        held.number(),
                        "why",
                        "old keys are not those that are held");
            }
        }
        held = next;
        gone = null;
        int[] sum = new int[5];
        for (int i = 0; i < parts; i++) {
            at[i] = next.number();
            EndpointView.ChangeCounts d = view.replace(firstPart + i, paging.fresh.get(i), other, next.number(), now);
            sum[0] += d.added();
            sum[1] += d.removed();
            sum[2] += d.drained();
            sum[3] += d.restarted();
            sum[4] += d.changed();
        }
        sink.eventOccurred(
                false,
                first ? "registry.built" : "registry.rebuilt",
                "revision",
                next.number(),
                "endpoint",
                endpointName(),
                "added",
                sum[0],
                "gone",
                sum[1],
                "drained",
                sum[2],
                "restarted",
                sum[3],
                "other",
                sum[4],
                "ms",
                now - paging.startedAt,
                "orphans",
                view.orphans());
        word(paging.wordAt, now);
        paging = null;
        otherHistory = false;
        proved = false;
        doubtSince = NONE;
        onPage = settings.page();
        phase = Phase.FOLLOWING;
    }

    /**
     * What was checked: by part the number of keys and the key asked for (null: it is not there), and whether
     * the key that had gone is there. A registry that was restored and has since come as far as what is held
     * shows here: its cluster and revisions alone would look right.
     */
    public boolean onHistoryVerified(
            long now, Revision history, List<Long> counts, List<RegistryEntry> found, boolean gone) {
        if (!trusted(now, history)) {
            return false;
        }
        boolean same = !gone;
        for (int i = 0; i < parts; i++) {
            same &= counts.get(i) == view.entryCount(firstPart + i) && view.newestEntryIs(firstPart + i, found.get(i));
        }
        if (!same) {
            proved = true;
            believe(now, history, "the last changes held are not in it");
            return false;
        }
        onHistoryVerified = endpoint();
        phase = Arrays.stream(at).allMatch(done -> done >= history.number()) ? Phase.FOLLOWING : Phase.CATCHING_UP;
        if (phase == Phase.FOLLOWING) {
            word(now, now);
        }
        return true;
    }

    /**
     * By part how many keys it has at the answer's revision, and those that have changed since what is held.
     * That tells every put; which keys have gone only a rebuild can tell.
     */
    public boolean onMissedChanges(long now, Revision history, List<Long> counts, List<List<RegistryEntry>> changed) {
        if (!trusted(now, history)) {
            return false;
        }
        for (int i = 0; i < parts; i++) {
            if (view.countDeleted(firstPart + i, changed.get(i), counts.get(i)) != 0) {
                phase = Phase.REBUILDING;
                paging = null;
                return true;
            }
        }
        for (int i = 0; i < parts; i++) {
            at[i] = history.number();
            if (!changed.get(i).isEmpty()) {
                gone = null; // the newest change is a put
                view.apply(firstPart + i, changed.get(i), at[i]);
            }
        }
        reached(history, history.number());
        word(now, now);
        phase = Phase.FOLLOWING;
        return true;
    }

    /** At {@code then} nothing was missing in any part. */
    private void word(long then, long now) {
        Arrays.fill(wordAt, then);
        if (now - askedAt <= settings.dialMs() + settings.answerMs()) {
            silent = 0; // no longer slow
        }
        fresh(now);
    }

    private void fresh(long now) {
        for (int i = 0; i < parts; i++) {
            view.releaseOrphans(firstPart + i, wordAt[i]);
        }
        if (stale && now - confirmedAtMs() <= settings.stalenessLimitMs()) {
            stale = false;
            sink.eventOccurred(false, "registry.fresh", "endpoint", endpointName(), "revision", revision());
        }
    }

    /** The revision that a range or a check asked for has been compacted away. */
    public boolean onCompacted(long now) {
        if (phase == Phase.CHECKING) {
            lost(0); // nothing can be proved any more
        } else if (paging != null) {
            sink.eventOccurred(
                    true,
                    "registry.compacted",
                    "while",
                    "rebuilding",
                    "revision",
                    paging.history == null ? 0 : paging.history.number());
            beginAgain();
        }
        return true;
    }

    private void lost(long oldest) {
        sink.eventOccurred(true, "registry.compacted", "while", phase, "revision", held.number(), "oldest", oldest);
        phase = Phase.REBUILDING;
        paging = null;
    }

    /** The pages read so far are worth nothing; with larger ones the next rebuild is more likely to end. */
    private void beginAgain() {
        paging = null;
        onPage = Math.min(onPage * 2, settings.page() * MOST_PAGE_GROWTH);
    }

    /** The revision that was asked for lies ahead of this member. */
    public boolean onFutureRevision(long now, Revision history) {
        paging = null;
        if (held != null) {
            doubt(now, history == null ? new Revision("", 0, 0) : history);
        } else {
            endpoints.recordStaleAnswer(endpoint(), now, settings.restoreAfterMs() / 4);
        }
        return false;
    }

    /** The watch of a part is on. */
    public boolean onWatchCreated(long now, Revision history, int part) {
        if (!trusted(now, history)) {
            return false;
        }
        onWatchCreated++;
        useful();
        if (part == firstPart + parts - 1) {
            sink.eventOccurred(
                    false,
                    broke ? "registry.resumed" : "registry.following",
                    "endpoint",
                    endpointName(),
                    "revision",
                    held.number());
            broke = false;
        }
        return true;
    }

    /**
     * Changes of a part. {@code more}: the answer is one of several that belong together, and the next holds
     * the rest. A revision is never split across answers other than by that.
     */
    public boolean onChanges(long now, Revision history, int part, List<RegistryEntry> items, boolean more) {
        if (!history.clusterId().equals(held.clusterId())) {
            doubt(now, history);
            return false;
        }
        List<RegistryEntry> batch = fragments.get(part - firstPart);
        batch.addAll(items);
        if (more) {
            return true;
        }
        wordAt[part - firstPart] = now;
        long done = at[part - firstPart];
        batch.removeIf(item -> item.revision() <= done); // replays
        if (batch.isEmpty()) {
            fresh(now);
            return true;
        }
        List<RegistryEntry> all = List.copyOf(batch);
        batch.clear();
        RegistryEntry newest = all.get(all.size() - 1);
        at[part - firstPart] = newest.revision();
        gone = newest.isDeleted() ? newest.key() : null;
        goneFrom = part - firstPart;
        reached(history, newest.revision());
        view.apply(part, all, newest.revision());
        fresh(now);
        return true;
    }

    /** Nothing that is not told has changed in this part up to the answer's revision. */
    public boolean onProgress(long now, Revision history, int part) {
        if (!history.clusterId().equals(held.clusterId())) {
            doubt(now, history);
            return false;
        }
        int i = part - firstPart;
        if (fragments.get(i).isEmpty()) {
            wordAt[i] = now;
            fresh(now);
            at[i] = Math.max(at[i], history.number());
            reached(history, history.number());
        }
        return true;
    }

    private void reached(Revision history, long revision) {
        held = new Revision(
                held.clusterId(), Math.max(held.number(), revision), Math.max(held.raftTerm(), history.raftTerm()));
    }

    /** A watch was ended by the registry. {@code compactRevision}: the oldest left, if that is why. */
    public boolean onWatchCanceled(long now, long compactRevision, String reason) {
        if (compactRevision > 0) {
            lost(compactRevision);
        } else {
            sink.eventOccurred(true, "registry.canceled", "endpoint", endpointName(), "why", reason);
            endpoints.failed(endpoint(), now, CallOutcome.ERROR);
            phase = Phase.CHECKING;
        }
        return false;
    }

    /**
     * Consul's answer. {@code lastContactMs}: how long this server has not heard its leader.
     */
    public boolean onQueryResult(long now, long index, boolean leader, long lastContactMs, List<RegistryEntry> items) {
        if (!leader) {
            return failing(now, "it knows no leader");
        }
        long reached = Math.max(1, index); // below 1 a question would not block
        boolean back = held != null && reached < at[0];
        if (lastContactMs > settings.answerMs() && !consistent) {
            return failing(now, "it has not heard its leader for " + lastContactMs + " ms");
        }
        if (back && !consistent) {
            // Either this server lags or the index was reset: the leader itself is asked for the whole.
            sink.eventOccurred(true, "registry.doubt", "endpoint", endpointName(), "revision", reached, "held", at[0]);
            consistent = true;
            return false;
        }
        boolean first = held == null;
        if (back) {
            sink.eventOccurred(
                    true,
                    "registry.history_changed",
                    "endpoint",
                    endpointName(),
                    "revision",
                    reached,
                    "held",
                    at[0],
                    "why",
                    "the leader's index is lower");
        }
        useful();
        consistent = false;
        if (first || reached != at[0] || broke) {
            Map<String, RegistryEntry> fresh = new LinkedHashMap<>();
            items.forEach(item -> fresh.put(item.key(), item));
            // An instance's index may fall when one of its checks is removed: it proves nothing.
            if (!first
                    && !back
                    && settings.dialect() != RegistrySettings.Dialect.CONSUL_HEALTH
                    && view.contradicts(firstPart, fresh, at[0])) {
                back = true;
                sink.eventOccurred(
                        true,
                        "registry.history_changed",
                        "endpoint",
                        endpointName(),
                        "revision",
                        reached,
                        "held",
                        at[0],
                        "why",
                        "old keys are not those that are held");
            }
            at[0] = reached;
            held = new Revision("", reached, 0);
            EndpointView.ChangeCounts d = view.replace(firstPart, fresh, back, reached, now);
            if (first || back) {
                sink.eventOccurred(
                        false,
                        first ? "registry.built" : "registry.rebuilt",
                        "revision",
                        reached,
                        "endpoint",
                        endpointName(),
                        "added",
                        d.added(),
                        "gone",
                        d.removed(),
                        "drained",
                        d.drained(),
                        "restarted",
                        d.restarted(),
                        "other",
                        d.changed(),
                        "orphans",
                        view.orphans());
            }
        }
        word(now, now);
        if (broke) {
            sink.eventOccurred(false, "registry.resumed", "endpoint", endpointName(), "revision", reached);
            broke = false;
        }
        return true;
    }

    private boolean failing(long now, String why) {
        sink.eventOccurred(true, "registry.failing", "endpoint", endpointName(), "why", why);
        endpoints.failed(endpoint(), now, CallOutcome.ERROR);
        return false;
    }

    /** The call is over. */
    public void onCallEnded(long now, CallOutcome how) {
        int endpoint = endpoint();
        boolean watching = out instanceof RegistryCall.Watch;
        denied = how == CallOutcome.DENIED;
        boolean quiet = false;
        boolean cut = how == CallOutcome.BROKEN || how == CallOutcome.SILENT || how == CallOutcome.REFUSED;
        if (cut && paging != null && paging.history != null) {
            beginAgain(); // another history may answer from now on
        }
        switch (how) {
            case DONE, STOPPED -> {
                if (watching && how == CallOutcome.DONE) {
                    endpoints.recordNormalEnd(endpoint, now);
                }
                if (!watching && how == CallOutcome.DONE) {
                    useful();
                }
            }
            case BROKEN -> {
                // A connection that was of use may break once at no price: resuming is to be quick.
                if (endpoints.proved(endpoint)) {
                    endpoints.failed(endpoint, now, CallOutcome.REFUSED);
                } else {
                    endpoints.failed(endpoint, now, how);
                }
            }
            case SILENT -> {
                // A watch may rightly be silent; it is replaced all the same, and first asked where it was.
                if (watching && onWatchCreated == parts) {
                    endpoints.recordNormalEnd(endpoint, now);
                    quiet = true;
                } else {
                    silent++;
                    endpoints.failed(endpoint, now, how);
                }
            }
            case TOO_LARGE -> {
                onPage = Math.max(1, onPage / 4);
                if (out instanceof RegistryCall.RangePage) {
                    endpoints.recordNormalEnd(endpoint, now);
                } else if (phase == Phase.CATCHING_UP) {
                    phase = Phase.REBUILDING; // in pages it is not too large
                    paging = null;
                } else {
                    endpoints.failed(endpoint, now, how);
                }
            }
            default -> endpoints.failed(endpoint, now, how);
        }
        if (quiet) {
            sink.eventOccurred(false, "registry.silent", "endpoint", endpointName(), "revision", revision());
        } else if (how != CallOutcome.DONE && how != CallOutcome.STOPPED) {
            sink.eventOccurred(
                    true,
                    how == CallOutcome.DENIED ? "registry.denied" : "registry.broken",
                    "endpoint",
                    endpointName(),
                    "how",
                    how,
                    "phase",
                    phase,
                    "revision",
                    revision(),
                    "unheard_ms",
                    now - confirmedAtMs());
            broke = true;
        }
        if (now >= preferAt) {
            preferAt = Long.MAX_VALUE;
            if (endpoints.switchToPreferred(now)) {
                preferred++;
                sink.eventOccurred(false, "registry.prefer", "endpoint", endpointName());
            }
        }
        if (watching && phase == Phase.FOLLOWING
                || out instanceof RegistryCall.ReadMissedChanges && phase == Phase.CATCHING_UP) {
            phase = Phase.CHECKING;
        }
    }

    // ------------------------------------------------------------ whose history it is

    /** Whether an answer may follow what is held; where not, it changes nothing. */
    private boolean trusted(long now, Revision history) {
        if (proved) {
            return true;
        }
        if (held == null || held.mayPrecede(history)) {
            otherHistory = false;
            doubtSince = NONE;
            return true;
        }
        if (otherHistory) {
            return true;
        }
        doubt(now, history);
        return false;
    }

    /**
     * An answer that goes back: a member that lags, one of another cluster, or a registry restored from a
     * backup. Only the last shows at every endpoint for long: until then the view stays as it is.
     */
    private void doubt(long now, Revision history) {
        if (doubtSince == NONE) {
            doubtSince = now;
            sink.eventOccurred(
                    true,
                    "registry.doubt",
                    "endpoint",
                    endpointName(),
                    "cluster",
                    history.clusterId(),
                    "revision",
                    history.number(),
                    "held",
                    held.number());
        }
        if (now - doubtSince >= settings.restoreAfterMs()) {
            believe(now, history, "all endpoints have said so for " + (now - doubtSince) + " ms");
        } else {
            endpoints.recordStaleAnswer(endpoint(), now, settings.restoreAfterMs() / 4);
        }
    }

    private void believe(long now, Revision history, String why) {
        sink.eventOccurred(
                true,
                "registry.history_changed",
                "endpoint",
                endpointName(),
                "cluster",
                history.clusterId(),
                "revision",
                history.number(),
                "held",
                held.number(),
                "why",
                why);
        otherHistory = true;
        phase = Phase.REBUILDING;
        paging = null;
        rebuildAt = now;
    }

    private void useful() {
        endpoints.recordSuccess(endpoint());
        preferred = endpoint() == 0 ? 0 : preferred;
    }

    private int endpoint() {
        return endpoints.current();
    }

    private String endpointName() {
        return settings.endpoints().get(endpoint());
    }

    @Override
    public String toString() {
        return phase + " at " + Arrays.toString(at) + (doubtSince == NONE ? "" : ", in doubt");
    }
}
