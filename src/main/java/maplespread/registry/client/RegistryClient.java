package maplespread.registry.client;

import java.util.List;
import maplespread.log.Event;
import maplespread.registry.CallOutcome;
import maplespread.registry.RegistryCall;
import maplespread.registry.RegistryEntry;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.registry.RegistryWatcher;
import maplespread.registry.wire.ConsulProtocol;
import maplespread.registry.wire.EtcdProtocol;
import maplespread.registry.wire.RegistryProtocolException;
import maplespread.registry.wire.RegistryRequest;

/** One core's conversation: carries out what it asks for, and tells it what came. One thread. */
final class RegistryClient implements Runnable {
    private static final long TOKEN_LOOK_MS = 250;
    private final RegistrySettings settings;
    private final RegistryWatcher core;
    private final Object lock; // guards the core and the view behind it
    private final RegistryConnection link;
    private final TokenFile token;
    private final Thread thread;
    private boolean over;

    RegistryClient(RegistrySettings settings, RegistryWatcher core, Object lock, String name, long stack) {
        this.settings = settings;
        this.core = core;
        this.lock = lock;
        token = new TokenFile(settings.tokenFile());
        link = new RegistryConnection(settings, token);
        thread = new Thread(null, this, name, stack);
        thread.setDaemon(true);
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    void start() {
        thread.start();
    }

    void close() {
        synchronized (lock) {
            over = true;
            lock.notifyAll();
        }
        link.close();
    }

    @Override
    public void run() {
        while (true) {
            try {
                RegistryCall ask;
                synchronized (lock) {
                    if (over) {
                        return;
                    }
                    ask = core.nextCall(nowMs());
                    if (ask instanceof RegistryCall.Pause pause) {
                        pause(pause.untilMs());
                        continue;
                    }
                }
                carryOut(ask);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) { // without this thread drains would go unseen
                Event.of("registry.fault", "why", e).error();
                ended(CallOutcome.MALFORMED);
            }
        }
    }

    private void pause(long untilMs) throws InterruptedException {
        long left = untilMs - nowMs();
        lock.wait(Math.max(1, core.denied() ? Math.min(left, TOKEN_LOOK_MS) : left));
        if (core.denied() && token.changed()) {
            core.onTokenChanged(nowMs());
        }
    }

    private void carryOut(RegistryCall ask) {
        CallOutcome how;
        try {
            how = settings.dialect() == Dialect.ETCD ? etcd(ask) : consul((RegistryCall.BlockingQuery) ask);
        } catch (RegistryConnection.CallFailedException e) {
            how = e.how;
            if (how != CallOutcome.STOPPED && how != CallOutcome.REFUSED) {
                Event.of("registry.call_failed", "why", e.getMessage()).info();
            }
        } catch (RegistryProtocolException e) {
            how = CallOutcome.MALFORMED;
            Event.of("registry.malformed", "why", e.getMessage()).warn();
        }
        ended(how);
    }

    private void ended(CallOutcome how) {
        synchronized (lock) {
            if (!over) {
                core.onCallEnded(nowMs(), how);
            }
        }
    }

    // ------------------------------------------------------------ etcd

    private CallOutcome etcd(RegistryCall ask)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        if (ask instanceof RegistryCall.Watch watch) {
            return watch(watch);
        }
        RegistryCall.VerifyHistory check = ask instanceof RegistryCall.VerifyHistory c ? c : null;
        RegistryCall.ReadMissedChanges missed = ask instanceof RegistryCall.ReadMissedChanges m ? m : null;
        RegistryRequest request = check != null
                ? EtcdProtocol.check(settings.follow(), check.proofs(), check.deletedKey(), check.deletedAtRevision())
                : missed != null
                        ? EtcdProtocol.missed(settings.follow(), missed.sinceRevisions())
                        : range((RegistryCall.RangePage) ask);
        String endpoint = endpoint(
                check != null
                        ? check.server()
                        : missed != null ? missed.server() : ((RegistryCall.RangePage) ask).server());
        String body;
        try {
            body = link.call(endpoint, request, core.callTimeoutAtMs(), false).body();
        } catch (RegistryConnection.CallFailedException e) {
            EtcdProtocol.ErrorKind fault =
                    e.how == CallOutcome.ERROR ? EtcdProtocol.fault(e.status, e.body) : EtcdProtocol.ErrorKind.OTHER;
            synchronized (lock) {
                switch (fault) {
                    case COMPACTED -> {
                        return core.onCompacted(nowMs()) ? CallOutcome.DONE : CallOutcome.STOPPED;
                    }
                    case AHEAD -> {
                        return core.onFutureRevision(nowMs(), null) ? CallOutcome.DONE : CallOutcome.STOPPED;
                    }
                    case DENIED -> {
                        return CallOutcome.DENIED;
                    }
                    default -> throw e;
                }
            }
        }
        if (check != null) {
            EtcdProtocol.HistoryResponse c = EtcdProtocol.checked(body, check.proofs(), check.deletedKey() != null);
            synchronized (lock) {
                return core.onHistoryVerified(nowMs(), c.revision(), c.counts(), c.found(), c.deletedKeyFound())
                        ? CallOutcome.DONE
                        : CallOutcome.STOPPED;
            }
        }
        if (missed != null) {
            EtcdProtocol.MissedChangesResponse m = EtcdProtocol.missed(body);
            synchronized (lock) {
                return core.onMissedChanges(nowMs(), m.revision(), m.counts(), m.changed())
                        ? CallOutcome.DONE
                        : CallOutcome.STOPPED;
            }
        }
        EtcdProtocol.RangeResponse page = EtcdProtocol.page(body);
        synchronized (lock) {
            return core.onPage(nowMs(), page.revision(), page.entries(), page.more())
                    ? CallOutcome.DONE
                    : CallOutcome.STOPPED;
        }
    }

    private RegistryRequest range(RegistryCall.RangePage r) {
        return EtcdProtocol.range(settings.follow().get(r.target()), r.afterKey(), r.revision(), r.limit());
    }

    private CallOutcome watch(RegistryCall.Watch ask)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        RegistryProtocolException[] bad = new RegistryProtocolException[1];
        try {
            CallOutcome end = link.stream(
                    endpoint(ask.server()),
                    EtcdProtocol.watch(settings.follow(), ask.fromRevisions()),
                    core::callTimeoutAtMs,
                    ask.endAtMs(),
                    line -> {
                        try {
                            return line(line);
                        } catch (RegistryProtocolException e) {
                            bad[0] = e;
                            return false;
                        }
                    });
            if (bad[0] != null) {
                throw bad[0];
            }
            return end;
        } catch (RegistryConnection.CallFailedException e) {
            throw e.how == CallOutcome.ERROR && EtcdProtocol.fault(e.status, e.body) == EtcdProtocol.ErrorKind.DENIED
                    ? new RegistryConnection.CallFailedException(CallOutcome.DENIED, e.status, e.body)
                    : e;
        }
    }

    private boolean line(String text) throws RegistryProtocolException {
        EtcdProtocol.WatchResponse n = EtcdProtocol.notice(text);
        int part = (int) n.watchId() - 1;
        synchronized (lock) {
            if (over) {
                return false;
            }
            long now = nowMs();
            if (n.canceled()) {
                return core.onWatchCanceled(now, n.compactRevision(), n.cancelReason());
            }
            if (part < 0 || part >= settings.follow().size()) {
                return true; // no watch of this stream
            }
            if (n.created()) {
                return core.onWatchCreated(now, n.revision(), part);
            }
            return !n.entries().isEmpty() || n.fragment()
                    ? core.onChanges(now, n.revision(), part, n.entries(), n.fragment())
                    : core.onProgress(now, n.revision(), part);
        }
    }

    // ------------------------------------------------------------ Consul

    private CallOutcome consul(RegistryCall.BlockingQuery ask)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        boolean keys = settings.dialect() == Dialect.CONSUL_KV;
        String name = settings.follow().get(ask.target());
        RegistryRequest request = keys
                ? ConsulProtocol.keys(name, ask.index(), ask.waitMs(), ask.consistent())
                : ConsulProtocol.health(name, ask.index(), ask.waitMs(), ask.consistent());
        RegistryConnection.Response answer = link.call(endpoint(ask.server()), request, core.callTimeoutAtMs(), keys);
        long index = answer.number("X-Consul-Index", -1);
        if (index < 0) {
            throw new RegistryConnection.CallFailedException(CallOutcome.MALFORMED, 0, "no X-Consul-Index");
        }
        List<RegistryEntry> items = keys ? ConsulProtocol.keys(answer.body()) : ConsulProtocol.health(answer.body());
        boolean leader = !"false".equalsIgnoreCase(answer.head().get("X-Consul-KnownLeader"));
        synchronized (lock) {
            return core.onQueryResult(nowMs(), index, leader, answer.number("X-Consul-LastContact", 0), items)
                    ? CallOutcome.DONE
                    : CallOutcome.STOPPED;
        }
    }

    private String endpoint(int place) {
        return settings.endpoints().get(place);
    }
}
