package maplespread.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The rebuild phase: reads every key of every target page by page, all of one revision and from one server, and
 * replaces the view only when the last page is in. Rebuilds that follow each other are spread by a jittered
 * backoff, the longer, the more dispatchers share the registry. Not thread-safe.
 */
final class SnapshotRebuild {
    private static final long BACKOFF_BASE_MS = 20;
    private static final long BACKOFF_CAP_MS = 200;
    private static final long BACKOFF_CAP_PER_PEER_MS = 50;
    private static final long MAX_BACKOFF_CAP_MS = 1000;
    private static final int MAX_PAGE_GROWTH = 16;
    private static final int PAGE_SHRINK = 4;

    /** The pages read so far. */
    private static final class Pages {
        final List<Map<String, RegistryEntry>> byTarget = new ArrayList<>();
        final long startedAtMs;
        final int server;
        long firstPageAtMs;
        String afterKey = "";
        Revision revision; // null until the first page has come

        Pages(long nowMs, int server) {
            startedAtMs = nowMs;
            this.server = server;
            nextTarget();
        }

        void nextTarget() {
            byTarget.add(new LinkedHashMap<>());
            afterKey = "";
        }

        Map<String, RegistryEntry> current() {
            return byTarget.get(byTarget.size() - 1);
        }
    }

    private final WatchState state;
    private final HistoryGuard guard;
    private final long backoffCapMs;
    private Pages pages; // null while no rebuild is under way
    private int pageSize;
    private long notBeforeMs;
    private long lastBackoffMs;

    SnapshotRebuild(WatchState state, HistoryGuard guard, int peers) {
        this.state = state;
        this.guard = guard;
        backoffCapMs = Math.min(MAX_BACKOFF_CAP_MS, BACKOFF_CAP_MS + BACKOFF_CAP_PER_PEER_MS * (peers - 1L));
        pageSize = state.settings.page();
    }

    /** Whether a rebuild is to begin, and its backoff is not over. */
    boolean backsOff(long nowMs) {
        return pages == null && nowMs < notBeforeMs;
    }

    /** When the next rebuild may begin. */
    long notBeforeMs() {
        return notBeforeMs;
    }

    /** Whether at least one page of the present rebuild has come. */
    boolean hasPages() {
        return pages != null && pages.revision != null;
    }

    /** The revision number that the pages are of; 0 where none has come. */
    long revisionNumber() {
        return hasPages() ? pages.revision.number() : 0;
    }

    /** Pages of two servers do not go together: where another one is called now, the rebuild starts over. */
    void requireServer(int server) {
        if (pages != null && pages.server != server) {
            startOver();
        }
    }

    /** The call for the next page; the first one begins the rebuild. */
    RegistryCall.RangePage nextCall(int server, long nowMs) {
        if (pages == null) {
            pages = new Pages(nowMs, server);
            if (nowMs - notBeforeMs > 2 * backoffCapMs) {
                lastBackoffMs = 0;
            }
            lastBackoffMs = state.jitter.nextBackoffMs(BACKOFF_BASE_MS, lastBackoffMs, backoffCapMs);
            notBeforeMs = nowMs + lastBackoffMs;
        }
        return new RegistryCall.RangePage(
                server, state.firstTarget + pages.byTarget.size() - 1, pages.afterKey, revisionNumber(), pageSize);
    }

    /** Whether an answer of this revision may belong to the pages read so far. */
    boolean mayContinueAt(Revision revision) {
        return pages.revision == null || pages.revision.mayPrecede(revision);
    }

    /** Takes a page; {@code more}: keys are left behind its last one. The last page completes the rebuild. */
    void addPage(long nowMs, Revision revision, List<RegistryEntry> entries, boolean more) {
        if (pages.revision == null) {
            pages.revision = revision;
            pages.firstPageAtMs = nowMs;
        }
        Map<String, RegistryEntry> current = pages.current();
        for (RegistryEntry entry : entries) {
            current.put(entry.key(), entry);
        }
        if (more && !entries.isEmpty()) {
            pages.afterKey = entries.get(entries.size() - 1).key();
        } else if (pages.byTarget.size() < state.targets) {
            pages.nextTarget();
        } else {
            complete(nowMs);
        }
    }

    private void complete(long nowMs) {
        boolean first = state.position.isEmpty();
        boolean otherHistory = !first && (guard.isOtherHistory() || contradictsView());
        Revision revision = pages.revision;
        state.position.reset(revision);
        EndpointView.ChangeCounts total = EndpointView.ChangeCounts.NONE;
        for (int target = 0; target < state.targets; target++) {
            total = total.plus(state.view.replace(
                    state.firstTarget + target, pages.byTarget.get(target), otherHistory, revision.number(), nowMs));
        }
        state.info(
                first ? "registry.built" : "registry.rebuilt",
                "revision",
                revision.number(),
                "endpoint",
                state.serverName(),
                "added",
                total.added(),
                "gone",
                total.removed(),
                "drained",
                total.drained(),
                "restarted",
                total.restarted(),
                "other",
                total.changed(),
                "ms",
                nowMs - pages.startedAtMs,
                "orphans",
                state.view.orphanCount());
        state.confirmAll(pages.firstPageAtMs, nowMs);
        pages = null;
        guard.settle();
        pageSize = state.settings.page();
        state.phase = RegistryWatcher.Phase.FOLLOWING;
    }

    /** Whether a page has an old key that is not held so: the registry was restored and has come further since. */
    private boolean contradictsView() {
        for (int target = 0; target < state.targets; target++) {
            int number = state.firstTarget + target;
            if (state.view.contradicts(number, pages.byTarget.get(target), state.position.reached(target))) {
                state.warn(
                        "registry.history_changed",
                        "endpoint",
                        state.serverName(),
                        "revision",
                        pages.revision.number(),
                        "held",
                        state.position.number(),
                        "why",
                        "old keys are not those that are held");
                return true;
            }
        }
        return false;
    }

    /** Begins the rebuild phase; pages read so far are dropped. */
    void enter() {
        state.phase = RegistryWatcher.Phase.REBUILDING;
        pages = null;
    }

    /** The same, and without a backoff. */
    void enterAtOnce(long nowMs) {
        enter();
        notBeforeMs = nowMs;
    }

    /** Drops the pages read so far; larger ones make it more likely that the next rebuild is completed. */
    void startOver() {
        pages = null;
        pageSize = Math.min(pageSize * 2, state.settings.page() * MAX_PAGE_GROWTH);
    }

    /** Drops the pages read so far. */
    void dropPages() {
        pages = null;
    }

    /** An answer was larger than can be held at once. */
    void shrinkPages() {
        pageSize = Math.max(1, pageSize / PAGE_SHRINK);
    }

    /** The revision that the pages are of has been compacted away. */
    void onCompacted() {
        if (pages != null) {
            state.warn("registry.compacted", "while", "rebuilding", "revision", revisionNumber());
            startOver();
        }
    }
}
