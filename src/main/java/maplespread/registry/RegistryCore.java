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
 * {@link End#STOPPED}.
 */
public final class RegistryCore {
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
        final List<Map<String, Item>> fresh = new ArrayList<>();
        final long startedAt;
        final int endpoint;
        long wordAt; // its first page came then
        String after = "";
        History history;

        Paging(long now, int endpoint) {
            startedAt = now;
            this.endpoint = endpoint;
            fresh.add(new LinkedHashMap<>());
        }
    }

    private final RegistrySettings settings;
    private final boolean whole;
    private final int firstPart, parts;
    private final View view;
    private final RegistrySink sink;
    private final Pace pace;
    private final Endpoints endpoints;

    private Phase phase = Phase.REBUILDING;
    private History held; // null: nothing has been read yet
    private String gone; // the newest change's key, if it deleted it
    private int goneFrom;
    private final long[] at; // by part: all up to it is held
    private final List<List<Item>> fragments = new ArrayList<>();
    private Paging paging;
    private int page;
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
    private int created; // watches of the stream that are on
    private int silent; // calls without an answer, in a row
    private int checked; // the endpoint that was checked last
    private boolean stale;
    private boolean denied;
    private boolean broke; // since the last event about the watch
    private Ask out;

    /**
     * Follows the parts from {@code firstPart} on, so many of them. {@code peers}: dispatchers that share the
     * registry and so the requests that it is to bear. {@code now}: this core's first moment.
     */
    public RegistryCore(
            RegistrySettings settings,
            int firstPart,
            int parts,
            int peers,
            View view,
            long seed,
            long now,
            RegistrySink sink) {
        this.settings = settings;
        this.whole = settings.dialect().wholeAnswers();
        this.firstPart = firstPart;
        this.parts = parts;
        this.view = view;
        this.sink = sink;
        SplittableRandom random = new SplittableRandom(seed);
        pace = new Pace((double) settings.requestsPerS() / Math.max(1, peers), random);
        endpoints = new Endpoints(settings.endpoints().size(), pace);
        rebuildCap = Math.min(REBUILD_MOST_MS, REBUILD_CAP_MS + REBUILD_PEER_MS * (peers - 1L));
        page = settings.page();
        at = new long[parts];
        wordAt = new long[parts];
        Arrays.fill(wordAt, now);
        for (int i = 0; i < parts; i++) {
            fragments.add(new ArrayList<>());
        }
        phase = whole ? Phase.FOLLOWING : Phase.REBUILDING;
        if (!settings.paceKeepsClock(peers)) {
            sink.event(
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
    public long heardAt() {
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
    public long quietAt() {
        // A registry that is slower than answer_ms is to be followed all the same, late as it is.
        long answer = Math.max(
                settings.answerMs(),
                Math.min(SLOW_ANSWER_MS, settings.answerMs() << Math.min(MOST_DOUBLINGS, silent / endpoints.size())));
        long limit = askedAt + settings.dialMs() + answer;
        if (out instanceof Ask.Question q && q.index() > 0) {
            return limit + q.waitMs() + q.waitMs() / RegistrySettings.CONSUL_EXTRA;
        }
        return out instanceof Ask.Watch && created == parts ? Math.max(askedAt, heardAt()) + silence : limit;
    }

    /** Whether the token is refused. */
    public boolean denied() {
        return denied;
    }

    /** The revision up to which all is held; 0: nothing yet. */
    public long revision() {
        return held == null ? 0 : held.revision();
    }

    // ------------------------------------------------------------ what to do next

    /** Whatever is to be done now. */
    public Ask next(long now) {
        if (!stale && held != null && now - heardAt() > settings.clockMs()) {
            stale = true;
            sink.event(
                    true,
                    "registry.stale",
                    "endpoint",
                    endpointName(),
                    "revision",
                    revision(),
                    "unheard_ms",
                    now - heardAt());
        }
        int endpoint = endpoints.pick(now);
        if (endpoint < 0) {
            return new Ask.Pause(Math.max(now + 1, endpoints.soonest()));
        }
        if (paging != null && paging.endpoint != endpoint) {
            beginAgain(); // the pages would be of two members
        }
        if (phase == Phase.CATCHING_UP && checked != endpoint) {
            phase = Phase.CHECKING; // the check was of another member
        }
        if (phase == Phase.REBUILDING && paging == null && now < rebuildAt) {
            return new Ask.Pause(rebuildAt);
        }
        long later = pace.take(now);
        if (later > 0) {
            return new Ask.Pause(later);
        }
        if (endpoint > 0 && preferAt == Long.MAX_VALUE) {
            // A better endpoint that fails whenever it is tried costs a while of blindness each time.
            preferAt = now + pace.around(settings.preferAgainMs() << Math.min(preferred, MOST_DOUBLINGS));
        }
        askedAt = now;
        out = whole
                ? question(endpoint)
                : switch (phase) {
                    case REBUILDING -> range(endpoint, now);
                    case CHECKING -> check(endpoint);
                    case CATCHING_UP ->
                        new Ask.Missed(endpoint, Arrays.stream(at).boxed().toList());
                    case FOLLOWING -> watch(endpoint);
                };
        return out;
    }

    private Ask question(int endpoint) {
        // After a break all is read at once: a registry restored meanwhile may stand at the same index.
        long index = consistent || broke || held == null ? 0 : at[0];
        return new Ask.Question(endpoint, firstPart, index, pace.upTo(settings.askedWaitMs(), SPREAD), consistent);
    }

    private Ask range(int endpoint, long now) {
        if (paging == null) {
            paging = new Paging(now, endpoint);
            rebuildRest = now - rebuildAt > 2 * rebuildCap ? 0 : rebuildRest;
            rebuildRest = pace.next(REBUILD_BASE_MS, rebuildRest, rebuildCap);
            rebuildAt = now + rebuildRest;
        }
        return new Ask.Range(
                endpoint,
                firstPart + paging.fresh.size() - 1,
                paging.after,
                paging.history == null ? 0 : paging.history.revision(),
                page);
    }

    private Ask check(int endpoint) {
        List<Ask.Proof> proofs = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            proofs.add(new Ask.Proof(at[i], view.newest(firstPart + i)));
        }
        return new Ask.Check(endpoint, proofs, gone, gone == null ? 0 : at[goneFrom]);
    }

    private Ask watch(int endpoint) {
        fragments.forEach(List::clear); // half a revision is none
        created = 0;
        silence = pace.upTo(settings.silenceMs(), SPREAD);
        List<Long> from = new ArrayList<>();
        for (long done : at) {
            from.add(done + 1);
        }
        return new Ask.Watch(endpoint, from, endpoint > 0 ? preferAt : Long.MAX_VALUE);
    }

    /** The token has changed: what was refused may be granted now. */
    public void tokenChanged(long now) {
        denied = false;
        endpoints.wake(now);
    }

    // ------------------------------------------------------------ what came

    /** A page of the present range. {@code more}: keys are left behind its last one. */
    public boolean page(long now, History history, List<Item> items, boolean more) {
        if (!trusted(now, history)) {
            return false;
        }
        if (paging.history != null && !paging.history.leadsTo(history)) {
            return ahead(now, history); // the pages would be of two registries
        }
        if (paging.history == null) {
            paging.history = history;
            paging.wordAt = now;
        }
        Map<String, Item> fresh = paging.fresh.get(paging.fresh.size() - 1);
        for (Item item : items) {
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
        History next = paging.history;
        boolean first = held == null;
        boolean other = !first && (otherHistory || proved);
        for (int i = 0; i < parts && !first && !other; i++) {
            if (view.contradicted(firstPart + i, paging.fresh.get(i), at[i])) {
                other = true;
                sink.event(
                        true,
                        "registry.history_changed",
                        "endpoint",
                        endpointName(),
                        "revision",
                        next.revision(),
                        "held",
                        held.revision(),
                        "why",
                        "old keys are not those that are held");
            }
        }
        held = next;
        gone = null;
        int[] sum = new int[5];
        for (int i = 0; i < parts; i++) {
            at[i] = next.revision();
            View.Difference d = view.replace(firstPart + i, paging.fresh.get(i), other, next.revision(), now);
            sum[0] += d.added();
            sum[1] += d.gone();
            sum[2] += d.drained();
            sum[3] += d.restarted();
            sum[4] += d.other();
        }
        sink.event(
                false,
                first ? "registry.built" : "registry.rebuilt",
                "revision",
                next.revision(),
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
        page = settings.page();
        phase = Phase.FOLLOWING;
    }

    /**
     * What was checked: by part the number of keys and the key asked for (null: it is not there), and whether
     * the key that had gone is there. A registry that was restored and has since come as far as what is held
     * shows here: its cluster and revisions alone would look right.
     */
    public boolean checked(long now, History history, List<Long> counts, List<Item> found, boolean gone) {
        if (!trusted(now, history)) {
            return false;
        }
        boolean same = !gone;
        for (int i = 0; i < parts; i++) {
            same &= counts.get(i) == view.size(firstPart + i) && view.holds(firstPart + i, found.get(i));
        }
        if (!same) {
            proved = true;
            believe(now, history, "the last changes held are not in it");
            return false;
        }
        checked = endpoint();
        phase = Arrays.stream(at).allMatch(done -> done >= history.revision()) ? Phase.FOLLOWING : Phase.CATCHING_UP;
        if (phase == Phase.FOLLOWING) {
            word(now, now);
        }
        return true;
    }

    /**
     * By part how many keys it has at the answer's revision, and those that have changed since what is held.
     * That tells every put; which keys have gone only a rebuild can tell.
     */
    public boolean missed(long now, History history, List<Long> counts, List<List<Item>> changed) {
        if (!trusted(now, history)) {
            return false;
        }
        for (int i = 0; i < parts; i++) {
            if (view.gone(firstPart + i, changed.get(i), counts.get(i)) != 0) {
                phase = Phase.REBUILDING;
                paging = null;
                return true;
            }
        }
        for (int i = 0; i < parts; i++) {
            at[i] = history.revision();
            if (!changed.get(i).isEmpty()) {
                gone = null; // the newest change is a put
                view.apply(firstPart + i, changed.get(i), at[i]);
            }
        }
        reached(history, history.revision());
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
            view.expire(firstPart + i, wordAt[i]);
        }
        if (stale && now - heardAt() <= settings.clockMs()) {
            stale = false;
            sink.event(false, "registry.fresh", "endpoint", endpointName(), "revision", revision());
        }
    }

    /** The revision that a range or a check asked for has been compacted away. */
    public boolean compacted(long now) {
        if (phase == Phase.CHECKING) {
            lost(0); // nothing can be proved any more
        } else if (paging != null) {
            sink.event(
                    true,
                    "registry.compacted",
                    "while",
                    "rebuilding",
                    "revision",
                    paging.history == null ? 0 : paging.history.revision());
            beginAgain();
        }
        return true;
    }

    private void lost(long oldest) {
        sink.event(true, "registry.compacted", "while", phase, "revision", held.revision(), "oldest", oldest);
        phase = Phase.REBUILDING;
        paging = null;
    }

    /** The pages read so far are worth nothing; with larger ones the next rebuild is more likely to end. */
    private void beginAgain() {
        paging = null;
        page = Math.min(page * 2, settings.page() * MOST_PAGE_GROWTH);
    }

    /** The revision that was asked for lies ahead of this member. */
    public boolean ahead(long now, History history) {
        paging = null;
        if (held != null) {
            doubt(now, history == null ? new History("", 0, 0) : history);
        } else {
            endpoints.behind(endpoint(), now, settings.restoreAfterMs() / 4);
        }
        return false;
    }

    /** The watch of a part is on. */
    public boolean created(long now, History history, int part) {
        if (!trusted(now, history)) {
            return false;
        }
        created++;
        useful();
        if (part == firstPart + parts - 1) {
            sink.event(
                    false,
                    broke ? "registry.resumed" : "registry.following",
                    "endpoint",
                    endpointName(),
                    "revision",
                    held.revision());
            broke = false;
        }
        return true;
    }

    /**
     * Changes of a part. {@code more}: the answer is one of several that belong together, and the next holds
     * the rest. A revision is never split across answers other than by that.
     */
    public boolean changes(long now, History history, int part, List<Item> items, boolean more) {
        if (!history.cluster().equals(held.cluster())) {
            doubt(now, history);
            return false;
        }
        List<Item> batch = fragments.get(part - firstPart);
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
        List<Item> all = List.copyOf(batch);
        batch.clear();
        Item newest = all.get(all.size() - 1);
        at[part - firstPart] = newest.revision();
        gone = newest.isDeleted() ? newest.key() : null;
        goneFrom = part - firstPart;
        reached(history, newest.revision());
        view.apply(part, all, newest.revision());
        fresh(now);
        return true;
    }

    /** Nothing that is not told has changed in this part up to the answer's revision. */
    public boolean progress(long now, History history, int part) {
        if (!history.cluster().equals(held.cluster())) {
            doubt(now, history);
            return false;
        }
        int i = part - firstPart;
        if (fragments.get(i).isEmpty()) {
            wordAt[i] = now;
            fresh(now);
            at[i] = Math.max(at[i], history.revision());
            reached(history, history.revision());
        }
        return true;
    }

    private void reached(History history, long revision) {
        held = new History(held.cluster(), Math.max(held.revision(), revision), Math.max(held.term(), history.term()));
    }

    /** A watch was ended by the registry. {@code compactRevision}: the oldest left, if that is why. */
    public boolean canceled(long now, long compactRevision, String reason) {
        if (compactRevision > 0) {
            lost(compactRevision);
        } else {
            sink.event(true, "registry.canceled", "endpoint", endpointName(), "why", reason);
            endpoints.failed(endpoint(), now, End.ERROR);
            phase = Phase.CHECKING;
        }
        return false;
    }

    /**
     * Consul's answer. {@code lastContactMs}: how long this server has not heard its leader.
     */
    public boolean answer(long now, long index, boolean leader, long lastContactMs, List<Item> items) {
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
            sink.event(true, "registry.doubt", "endpoint", endpointName(), "revision", reached, "held", at[0]);
            consistent = true;
            return false;
        }
        boolean first = held == null;
        if (back) {
            sink.event(
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
            Map<String, Item> fresh = new LinkedHashMap<>();
            items.forEach(item -> fresh.put(item.key(), item));
            // An instance's index may fall when one of its checks is removed: it proves nothing.
            if (!first
                    && !back
                    && settings.dialect() != RegistrySettings.Dialect.CONSUL_HEALTH
                    && view.contradicted(firstPart, fresh, at[0])) {
                back = true;
                sink.event(
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
            held = new History("", reached, 0);
            View.Difference d = view.replace(firstPart, fresh, back, reached, now);
            if (first || back) {
                sink.event(
                        false,
                        first ? "registry.built" : "registry.rebuilt",
                        "revision",
                        reached,
                        "endpoint",
                        endpointName(),
                        "added",
                        d.added(),
                        "gone",
                        d.gone(),
                        "drained",
                        d.drained(),
                        "restarted",
                        d.restarted(),
                        "other",
                        d.other(),
                        "orphans",
                        view.orphans());
            }
        }
        word(now, now);
        if (broke) {
            sink.event(false, "registry.resumed", "endpoint", endpointName(), "revision", reached);
            broke = false;
        }
        return true;
    }

    private boolean failing(long now, String why) {
        sink.event(true, "registry.failing", "endpoint", endpointName(), "why", why);
        endpoints.failed(endpoint(), now, End.ERROR);
        return false;
    }

    /** The call is over. */
    public void ended(long now, End how) {
        int endpoint = endpoint();
        boolean watching = out instanceof Ask.Watch;
        denied = how == End.DENIED;
        boolean quiet = false;
        boolean cut = how == End.BROKEN || how == End.SILENT || how == End.REFUSED;
        if (cut && paging != null && paging.history != null) {
            beginAgain(); // another history may answer from now on
        }
        switch (how) {
            case DONE, STOPPED -> {
                if (watching && how == End.DONE) {
                    endpoints.ended(endpoint, now);
                }
                if (!watching && how == End.DONE) {
                    useful();
                }
            }
            case BROKEN -> {
                // A connection that was of use may break once at no price: resuming is to be quick.
                if (endpoints.proved(endpoint)) {
                    endpoints.failed(endpoint, now, End.REFUSED);
                } else {
                    endpoints.failed(endpoint, now, how);
                }
            }
            case SILENT -> {
                // A watch may rightly be silent; it is replaced all the same, and first asked where it was.
                if (watching && created == parts) {
                    endpoints.ended(endpoint, now);
                    quiet = true;
                } else {
                    silent++;
                    endpoints.failed(endpoint, now, how);
                }
            }
            case TOO_LARGE -> {
                page = Math.max(1, page / 4);
                if (out instanceof Ask.Range) {
                    endpoints.ended(endpoint, now);
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
            sink.event(false, "registry.silent", "endpoint", endpointName(), "revision", revision());
        } else if (how != End.DONE && how != End.STOPPED) {
            sink.event(
                    true,
                    how == End.DENIED ? "registry.denied" : "registry.broken",
                    "endpoint",
                    endpointName(),
                    "how",
                    how,
                    "phase",
                    phase,
                    "revision",
                    revision(),
                    "unheard_ms",
                    now - heardAt());
            broke = true;
        }
        if (now >= preferAt) {
            preferAt = Long.MAX_VALUE;
            if (endpoints.prefer(now)) {
                preferred++;
                sink.event(false, "registry.prefer", "endpoint", endpointName());
            }
        }
        if (watching && phase == Phase.FOLLOWING || out instanceof Ask.Missed && phase == Phase.CATCHING_UP) {
            phase = Phase.CHECKING;
        }
    }

    // ------------------------------------------------------------ whose history it is

    /** Whether an answer may follow what is held; where not, it changes nothing. */
    private boolean trusted(long now, History history) {
        if (proved) {
            return true;
        }
        if (held == null || held.leadsTo(history)) {
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
    private void doubt(long now, History history) {
        if (doubtSince == NONE) {
            doubtSince = now;
            sink.event(
                    true,
                    "registry.doubt",
                    "endpoint",
                    endpointName(),
                    "cluster",
                    history.cluster(),
                    "revision",
                    history.revision(),
                    "held",
                    held.revision());
        }
        if (now - doubtSince >= settings.restoreAfterMs()) {
            believe(now, history, "all endpoints have said so for " + (now - doubtSince) + " ms");
        } else {
            endpoints.behind(endpoint(), now, settings.restoreAfterMs() / 4);
        }
    }

    private void believe(long now, History history, String why) {
        sink.event(
                true,
                "registry.history_changed",
                "endpoint",
                endpointName(),
                "cluster",
                history.cluster(),
                "revision",
                history.revision(),
                "held",
                held.revision(),
                "why",
                why);
        otherHistory = true;
        phase = Phase.REBUILDING;
        paging = null;
        rebuildAt = now;
    }

    private void useful() {
        endpoints.useful(endpoint());
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
