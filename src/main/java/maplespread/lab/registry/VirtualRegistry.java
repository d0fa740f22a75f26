package maplespread.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import maplespread.registry.CallOutcome;
import maplespread.registry.RegistryCall;
import maplespread.registry.RegistryEntry;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistryWatcher;
import maplespread.registry.Revision;

/**
 * The stand-in without sockets, on a virtual clock: carries out what cores ask for against a store. For the
 * model tests, and for measuring how many dispatchers return to one registry.
 */
public final class VirtualRegistry {
    /** One endpoint, and what is wrong with it. */
    public static final class Member {
        /** Refuses connections. */
        public boolean down;
        /** Accepts and never answers. */
        public boolean silent;
        /** By part (a bit each): watches that are on say nothing, and questions that wait never return. */
        public int muted;
        /** Whether a watch is told now and then that nothing has changed. */
        public boolean notices = true;
        /** How long an answer takes. */
        public long slowMs;
        /** Answers with errors only. */
        public boolean errors;
        /** Refuses the token. */
        public boolean denies;
        /** By how many revisions its answers lie behind. */
        public long lag;

        private final Store store;

        public Member(Store store) {
            this.store = store;
        }

        private long now() {
            return Math.max(1, store.revision() - lag);
        }

        private Revision history() {
            return new Revision(store.cluster(), now(), store.term());
        }
    }

    private final RegistrySettings settings;
    private final List<Member> members;
    private long requests;

    public VirtualRegistry(RegistrySettings settings, List<Member> members) {
        this.settings = settings;
        this.members = members;
    }

    /** Requests that reached a member that could take them. */
    public long requests() {
        return requests;
    }

    /** One core and the call that it has out. */
    public final class Conversation {
        private final RegistryWatcher core;
        private final SplittableRandom random;
        private Member member;
        private RegistryCall.Watch watch;
        private RegistryCall.BlockingQuery question;
        private long[] next;
        private long asked;
        private RegistryCall single; // a call whose answer is on its way
        private long answerAt;
        private Member linked; // to whom a connection is kept
        private boolean stale; // it has ended and nobody has noticed

        public Conversation(RegistryWatcher core, long seed) {
            this.core = core;
            random = new SplittableRandom(seed);
        }

        /** Whether a watch or a question is out. */
        public boolean open() {
            return watch != null || question != null;
        }

        /** Whether nothing is left to be heard on the watch or question that is out. */
        public boolean upToDate() {
            if (question != null) {
                return question.index() == member.store.index(prefix(question.target()));
            }
            if (watch == null) {
                return false;
            }
            for (long n : next) {
                if (n <= member.now()) {
                    return false;
                }
            }
            return true;
        }

        /** The connection breaks; {@code half}: in the middle of what it was to bring. */
        public void cut(long now, boolean half) {
            if (watch != null && half) {
                deliver(now, true);
            }
            stale = true;
            if (open() || single != null) {
                over(now, CallOutcome.BROKEN);
            }
        }

        /** Does one thing; when to be called again at the latest. */
        public long step(long now) {
            if (open() || single != null) {
                if (member.down) {
                    over(now, CallOutcome.BROKEN);
                    return now;
                }
                if (watch != null && now >= watch.endAtMs()) {
                    over(now, CallOutcome.STOPPED);
                } else if (now >= core.callTimeoutAtMs()) {
                    over(now, CallOutcome.SILENT);
                } else if (single != null) {
                    if (!member.silent && now >= answerAt) {
                        answer(now);
                    }
                } else if (watch != null && !member.silent) {
                    deliver(now, false);
                } else if (question != null
                        && !member.silent
                        && (member.muted >> question.target() & 1) == 0
                        && (now >= asked + question.waitMs()
                                || question.index() != member.store.index(prefix(question.target())))) {
                    over(now, ask(now));
                }
                if (single != null && !member.silent) {
                    return Math.min(answerAt, core.callTimeoutAtMs());
                }
                return question != null && !member.silent && member.muted == 0
                        ? asked + question.waitMs()
                        : watch != null
                                ? Math.min(core.callTimeoutAtMs(), watch.endAtMs())
                                : open() || single != null ? core.callTimeoutAtMs() : now;
            }
            RegistryCall ask = core.nextCall(now);
            if (ask instanceof RegistryCall.Pause pause) {
                return pause.untilMs();
            }
            int endpoint = ask instanceof RegistryCall.RangePage r
                    ? r.server()
                    : ask instanceof RegistryCall.VerifyHistory c
                            ? c.server()
                            : ask instanceof RegistryCall.ReadMissedChanges m
                                    ? m.server()
                                    : ask instanceof RegistryCall.Watch w
                                            ? w.server()
                                            : ((RegistryCall.BlockingQuery) ask).server();
            member = members.get(endpoint);
            if (member.down) {
                core.onCallEnded(now, CallOutcome.REFUSED);
                return now;
            }
            boolean ended = stale && linked == member;
            stale = false;
            linked = member;
            if (ended) {
                core.onCallEnded(now, CallOutcome.BROKEN);
                return now;
            }
            requests++;
            asked = now;
            single = ask;
            answerAt = now + member.slowMs;
            if (answerAt == now && !member.silent) {
                answer(now);
            }
            return now;
        }

        private void answer(long now) {
            RegistryCall ask = single;
            single = null;
            if (member.errors || member.denies) {
                core.onCallEnded(now, member.errors ? CallOutcome.ERROR : CallOutcome.DENIED);
                return;
            }
            if (ask instanceof RegistryCall.Watch w) {
                begin(now, w);
            } else if (ask instanceof RegistryCall.BlockingQuery q) {
                question = q;
                if (q.index() == 0) {
                    over(now, ask(now));
                }
            } else {
                core.onCallEnded(now, single(now, ask));
            }
        }

        private String prefix(int part) {
            return settings.follow().get(part);
        }

        private void over(long now, CallOutcome how) {
            stale |= how == CallOutcome.BROKEN && member.down;
            linked = how == CallOutcome.BROKEN ? null : linked;
            watch = null;
            question = null;
            single = null;
            core.onCallEnded(now, how);
        }

        private CallOutcome single(long now, RegistryCall ask) {
            Store store = member.store;
            try {
                if (ask instanceof RegistryCall.VerifyHistory c) {
                    List<Long> counts = new ArrayList<>();
                    List<RegistryEntry> found = new ArrayList<>();
                    for (int i = 0; i < c.proofs().size(); i++) {
                        RegistryCall.HistoryProof proof = c.proofs().get(i);
                        counts.add((long) range(prefix(i), prefix(i) + '\uffff', proof.revision())
                                .size());
                        found.add(proof.key() == null ? null : one(proof.key(), proof.revision()));
                    }
                    return core.onHistoryVerified(
                                    now,
                                    member.history(),
                                    counts,
                                    found,
                                    c.deletedKey() != null && one(c.deletedKey(), c.deletedAtRevision()) != null)
                            ? CallOutcome.DONE
                            : CallOutcome.STOPPED;
                }
                if (ask instanceof RegistryCall.ReadMissedChanges m) {
                    List<Long> counts = new ArrayList<>();
                    List<List<RegistryEntry>> changed = new ArrayList<>();
                    for (int i = 0; i < m.sinceRevisions().size(); i++) {
                        long since = m.sinceRevisions().get(i);
                        List<Store.Version> all = range(prefix(i), prefix(i) + '\uffff', member.now());
                        counts.add((long) all.size());
                        changed.add(all.stream()
                                .filter(v -> v.mod() > since)
                                .map(VirtualRegistry::item)
                                .toList());
                    }
                    return core.onMissedChanges(now, member.history(), counts, changed)
                            ? CallOutcome.DONE
                            : CallOutcome.STOPPED;
                }
                RegistryCall.RangePage r = (RegistryCall.RangePage) ask;
                if (r.revision() > member.now()) {
                    throw new Store.Gone(false);
                }
                String from = r.afterKey().isEmpty() ? prefix(r.target()) : r.afterKey() + '\0';
                List<Store.Version> found = store.range(
                        from,
                        prefix(r.target()) + '\uffff',
                        r.revision() == 0 && member.lag > 0 ? member.now() : r.revision(),
                        r.limit() + 1L);
                boolean more = found.size() > r.limit();
                return core.onPage(
                                now,
                                member.history(),
                                found.stream()
                                        .limit(r.limit())
                                        .map(VirtualRegistry::item)
                                        .toList(),
                                more)
                        ? CallOutcome.DONE
                        : CallOutcome.STOPPED;
            } catch (Store.Gone e) {
                return (e.compacted ? core.onCompacted(now) : core.onFutureRevision(now, member.history()))
                        ? CallOutcome.DONE
                        : CallOutcome.STOPPED;
            }
        }

        private RegistryEntry one(String key, long at) throws Store.Gone {
            List<Store.Version> found = range(key, key + '\0', at);
            return found.isEmpty() ? null : item(found.get(0));
        }

        private List<Store.Version> range(String from, String to, long at) throws Store.Gone {
            if (at > member.now()) {
                throw new Store.Gone(false);
            }
            return member.store.range(from, to, at, Long.MAX_VALUE);
        }

        private void begin(long now, RegistryCall.Watch ask) {
            watch = ask;
            next = ask.fromRevisions().stream().mapToLong(Long::longValue).toArray();
            for (int i = 0; i < next.length; i++) {
                if (!core.onWatchCreated(now, member.history(), i)) {
                    over(now, CallOutcome.STOPPED);
                    return;
                }
            }
        }

        /** Brings what has changed, in batches of whole revisions, some of them in fragments. */
        private void deliver(long now, boolean half) {
            for (int part = 0; part < next.length; part++) {
                if ((member.muted >> part & 1) != 0) {
                    continue;
                }
                List<RegistryEntry> events = new ArrayList<>();
                try {
                    long upTo = next[part] + random.nextInt(6);
                    while (next[part] <= Math.min(upTo, member.now())) {
                        for (Store.Version v : member.store.changesOf(next[part])) {
                            if (v.key().startsWith(prefix(part))) {
                                events.add(item(v));
                            }
                        }
                        next[part]++;
                    }
                } catch (Store.Gone e) {
                    core.onWatchCanceled(now, member.store.compacted(), "compacted");
                    over(now, CallOutcome.STOPPED);
                    return;
                }
                if (events.isEmpty()) {
                    continue;
                }
                int cut = events.size() > 1 ? random.nextInt(events.size()) : 0;
                boolean on = true;
                if (cut > 0 || half) {
                    on = core.onChanges(now, member.history(), part, events.subList(0, cut), true);
                }
                if (half) {
                    return;
                }
                if (!on || !core.onChanges(now, member.history(), part, events.subList(cut, events.size()), false)) {
                    over(now, CallOutcome.STOPPED);
                    return;
                }
            }
            for (int part = 0; part < next.length && member.notices && random.nextInt(8) == 0; part++) {
                if ((member.muted >> part & 1) == 0
                        && next[part] > member.now()
                        && !core.onProgress(now, member.history(), part)) {
                    over(now, CallOutcome.STOPPED);
                    return;
                }
            }
        }

        private CallOutcome ask(long now) {
            try {
                String prefix = prefix(question.target());
                boolean leader = question.consistent();
                long at = member.lag > 0 && !leader ? Math.max(member.now(), member.store.compacted()) : 0;
                long index = member.store.index(prefix);
                List<RegistryEntry> items = member.store.range(prefix, prefix + '\uffff', at, Long.MAX_VALUE).stream()
                        .map(VirtualRegistry::item)
                        .toList();
                return core.onQueryResult(now, at > 0 ? Math.min(at, index) : index, true, 0, items)
                        ? CallOutcome.DONE
                        : CallOutcome.STOPPED;
            } catch (Store.Gone e) {
                return CallOutcome.ERROR;
            }
        }
    }

    private static RegistryEntry item(Store.Version v) {
        return v.value() == null
                ? RegistryEntry.deleted(v.key(), v.mod())
                : RegistryEntry.of(v.key(), v.value(), v.mod());
    }
}
