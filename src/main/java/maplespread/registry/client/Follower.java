package maplespread.registry.client;

import java.util.List;
import maplespread.log.Event;
import maplespread.registry.Ask;
import maplespread.registry.End;
import maplespread.registry.Item;
import maplespread.registry.RegistryCore;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.registry.wire.ConsulWire;
import maplespread.registry.wire.EtcdWire;
import maplespread.registry.wire.Request;
import maplespread.registry.wire.WireError;

/** One core's conversation: carries out what it asks for, and tells it what came. One thread. */
final class Follower implements Runnable {
    private static final long TOKEN_LOOK_MS = 250;
    private final RegistrySettings settings;
    private final RegistryCore core;
    private final Object lock; // guards the core and the view behind it
    private final RegistryLink link;
    private final TokenFile token;
    private final Thread thread;
    private boolean over;

    Follower(RegistrySettings settings, RegistryCore core, Object lock, String name, long stack) {
        this.settings = settings;
        this.core = core;
        this.lock = lock;
        token = new TokenFile(settings.tokenFile());
        link = new RegistryLink(settings, token);
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
                Ask ask;
                synchronized (lock) {
                    if (over) {
                        return;
                    }
                    ask = core.next(nowMs());
                    if (ask instanceof Ask.Pause pause) {
                        pause(pause.untilMs());
                        continue;
                    }
                }
                carryOut(ask);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) { // without this thread drains would go unseen
                Event.of("registry.fault", "why", e).error();
                ended(End.MALFORMED);
            }
        }
    }

    private void pause(long untilMs) throws InterruptedException {
        long left = untilMs - nowMs();
        lock.wait(Math.max(1, core.denied() ? Math.min(left, TOKEN_LOOK_MS) : left));
        if (core.denied() && token.changed()) {
            core.tokenChanged(nowMs());
        }
    }

    private void carryOut(Ask ask) {
        End how;
        try {
            how = settings.dialect() == Dialect.ETCD ? etcd(ask) : consul((Ask.Question) ask);
        } catch (RegistryLink.Failed e) {
            how = e.how;
            if (how != End.STOPPED && how != End.REFUSED) {
                Event.of("registry.call_failed", "why", e.getMessage()).info();
            }
        } catch (WireError e) {
            how = End.MALFORMED;
            Event.of("registry.malformed", "why", e.getMessage()).warn();
        }
        ended(how);
    }

    private void ended(End how) {
        synchronized (lock) {
            if (!over) {
                core.ended(nowMs(), how);
            }
        }
    }

    // ------------------------------------------------------------ etcd

    private End etcd(Ask ask) throws RegistryLink.Failed, WireError {
        if (ask instanceof Ask.Watch watch) {
            return watch(watch);
        }
        Ask.Check check = ask instanceof Ask.Check c ? c : null;
        Ask.Missed missed = ask instanceof Ask.Missed m ? m : null;
        Request request = check != null
                ? EtcdWire.check(settings.follow(), check.proofs(), check.gone(), check.goneAt())
                : missed != null ? EtcdWire.missed(settings.follow(), missed.held()) : range((Ask.Range) ask);
        String endpoint = endpoint(
                check != null ? check.endpoint() : missed != null ? missed.endpoint() : ((Ask.Range) ask).endpoint());
        String body;
        try {
            body = link.call(endpoint, request, core.quietAt(), false).body();
        } catch (RegistryLink.Failed e) {
            EtcdWire.Fault fault = e.how == End.ERROR ? EtcdWire.fault(e.status, e.body) : EtcdWire.Fault.OTHER;
            synchronized (lock) {
                switch (fault) {
                    case COMPACTED -> {
                        return core.compacted(nowMs()) ? End.DONE : End.STOPPED;
                    }
                    case AHEAD -> {
                        return core.ahead(nowMs(), null) ? End.DONE : End.STOPPED;
                    }
                    case DENIED -> {
                        return End.DENIED;
                    }
                    default -> throw e;
                }
            }
        }
        if (check != null) {
            EtcdWire.Checked c = EtcdWire.checked(body, check.proofs(), check.gone() != null);
            synchronized (lock) {
                return core.checked(nowMs(), c.history(), c.counts(), c.found(), c.gone()) ? End.DONE : End.STOPPED;
            }
        }
        if (missed != null) {
            EtcdWire.Missed m = EtcdWire.missed(body);
            synchronized (lock) {
                return core.missed(nowMs(), m.history(), m.counts(), m.changed()) ? End.DONE : End.STOPPED;
            }
        }
        EtcdWire.Page page = EtcdWire.page(body);
        synchronized (lock) {
            return core.page(nowMs(), page.history(), page.items(), page.more()) ? End.DONE : End.STOPPED;
        }
    }

    private Request range(Ask.Range r) {
        return EtcdWire.range(settings.follow().get(r.part()), r.after(), r.revision(), r.limit());
    }

    private End watch(Ask.Watch ask) throws RegistryLink.Failed, WireError {
        WireError[] bad = new WireError[1];
        try {
            End end = link.stream(
                    endpoint(ask.endpoint()),
                    EtcdWire.watch(settings.follow(), ask.from()),
                    core::quietAt,
                    ask.cutAtMs(),
                    line -> {
                        try {
                            return line(line);
                        } catch (WireError e) {
                            bad[0] = e;
                            return false;
                        }
                    });
            if (bad[0] != null) {
                throw bad[0];
            }
            return end;
        } catch (RegistryLink.Failed e) {
            throw e.how == End.ERROR && EtcdWire.fault(e.status, e.body) == EtcdWire.Fault.DENIED
                    ? new RegistryLink.Failed(End.DENIED, e.status, e.body)
                    : e;
        }
    }

    private boolean line(String text) throws WireError {
        EtcdWire.Notice n = EtcdWire.notice(text);
        int part = (int) n.watch() - 1;
        synchronized (lock) {
            if (over) {
                return false;
            }
            long now = nowMs();
            if (n.canceled()) {
                return core.canceled(now, n.compactRevision(), n.reason());
            }
            if (part < 0 || part >= settings.follow().size()) {
                return true; // no watch of this stream
            }
            if (n.created()) {
                return core.created(now, n.history(), part);
            }
            return !n.items().isEmpty() || n.fragment()
                    ? core.changes(now, n.history(), part, n.items(), n.fragment())
                    : core.progress(now, n.history(), part);
        }
    }

    // ------------------------------------------------------------ Consul

    private End consul(Ask.Question ask) throws RegistryLink.Failed, WireError {
        boolean keys = settings.dialect() == Dialect.CONSUL_KV;
        String name = settings.follow().get(ask.part());
        Request request = keys
                ? ConsulWire.keys(name, ask.index(), ask.waitMs(), ask.consistent())
                : ConsulWire.health(name, ask.index(), ask.waitMs(), ask.consistent());
        RegistryLink.Answer answer = link.call(endpoint(ask.endpoint()), request, core.quietAt(), keys);
        long index = answer.number("X-Consul-Index", -1);
        if (index < 0) {
            throw new RegistryLink.Failed(End.MALFORMED, 0, "no X-Consul-Index");
        }
        List<Item> items = keys ? ConsulWire.keys(answer.body()) : ConsulWire.health(answer.body());
        boolean leader = !"false".equalsIgnoreCase(answer.head().get("X-Consul-KnownLeader"));
        synchronized (lock) {
            return core.answer(nowMs(), index, leader, answer.number("X-Consul-LastContact", 0), items)
                    ? End.DONE
                    : End.STOPPED;
        }
    }

    private String endpoint(int place) {
        return settings.endpoints().get(place);
    }
}
