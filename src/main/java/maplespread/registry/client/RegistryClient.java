package maplespread.registry.client;

import java.util.List;
import java.util.concurrent.TimeUnit;
import maplespread.log.Event;
import maplespread.registry.CallOutcome;
import maplespread.registry.RegistryCall;
import maplespread.registry.RegistryEntry;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.registry.RegistryWatcher;
import maplespread.registry.wire.ConsulRequests;
import maplespread.registry.wire.ConsulResponses;
import maplespread.registry.wire.EtcdRequests;
import maplespread.registry.wire.EtcdResponses;
import maplespread.registry.wire.RegistryProtocolException;
import maplespread.registry.wire.RegistryRequest;

/**
 * Makes the calls that one {@link RegistryWatcher} asks for and reports what came of them. Runs on a thread of
 * its own; the watcher and the view behind it are guarded by the lock that is passed in.
 */
final class RegistryClient implements Runnable {
    /** How often the token's file is looked at while the registry refuses the token. */
    private static final long TOKEN_CHECK_MS = 250;

    private static final String INDEX_HEADER = "X-Consul-Index";
    private static final String KNOWN_LEADER_HEADER = "X-Consul-KnownLeader";
    private static final String LAST_CONTACT_HEADER = "X-Consul-LastContact";

    private final RegistrySettings settings;
    private final RegistryWatcher watcher;
    private final Object lock;
    private final RegistryConnection connection;
    private final TokenFile token;
    private final Thread thread;
    private boolean closed; // guarded by the lock

    RegistryClient(
            RegistrySettings settings, RegistryWatcher watcher, Object lock, String threadName, long stackBytes) {
        this.settings = settings;
        this.watcher = watcher;
        this.lock = lock;
        token = new TokenFile(settings.tokenFile());
        connection = new RegistryConnection(settings, token);
        thread = new Thread(null, this, threadName, stackBytes);
        thread.setDaemon(true);
    }

    /** The clock of all registry code: milliseconds from an arbitrary origin. */
    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    void start() {
        thread.start();
    }

    /** Ends the thread and whatever call is out. */
    void close() {
        synchronized (lock) {
            closed = true;
            lock.notifyAll();
        }
        connection.close();
    }

    @Override
    public void run() {
        while (true) {
            try {
                RegistryCall call;
                synchronized (lock) {
                    if (closed) {
                        return;
                    }
                    call = watcher.nextCall(nowMs());
                    if (call instanceof RegistryCall.Pause pause) {
                        waitUntil(pause.untilMs());
                        continue;
                    }
                }
                reportEnd(execute(call));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) { // without this thread no drain would be seen
                Event.of("registry.fault", "why", e).error();
                reportEnd(CallOutcome.MALFORMED);
            }
        }
    }

    /** Waits once, under the lock; the caller asks the watcher again after it, whatever ended the wait. */
    private void waitUntil(long untilMs) throws InterruptedException {
        long remainingMs = untilMs - nowMs();
        lock.wait(Math.max(1, watcher.denied() ? Math.min(remainingMs, TOKEN_CHECK_MS) : remainingMs));
        if (watcher.denied() && token.changed()) {
            watcher.onTokenChanged(nowMs());
        }
    }

    private void reportEnd(CallOutcome outcome) {
        synchronized (lock) {
            if (!closed) {
                watcher.onCallEnded(nowMs(), outcome);
            }
        }
    }

    private CallOutcome execute(RegistryCall call) {
        try {
            return settings.dialect() == Dialect.ETCD
                    ? executeAtEtcd(call)
                    : queryConsul((RegistryCall.BlockingQuery) call);
        } catch (RegistryConnection.CallFailedException e) {
            if (e.outcome != CallOutcome.STOPPED && e.outcome != CallOutcome.REFUSED) {
                Event.of("registry.call_failed", "why", e.getMessage()).info();
            }
            return e.outcome;
        } catch (RegistryProtocolException e) {
            Event.of("registry.malformed", "why", e.getMessage()).warn();
            return CallOutcome.MALFORMED;
        }
    }

    private static CallOutcome outcome(boolean goesOn) {
        return goesOn ? CallOutcome.DONE : CallOutcome.STOPPED;
    }

    private String address(int server) {
        return settings.endpoints().get(server);
    }

    // ------------------------------------------------------------ etcd

    private CallOutcome executeAtEtcd(RegistryCall call)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        if (call instanceof RegistryCall.Watch watch) {
            return watch(watch);
        }
        try {
            if (call instanceof RegistryCall.VerifyHistory verification) {
                return verifyHistory(verification);
            }
            if (call instanceof RegistryCall.ReadMissedChanges missed) {
                return readMissedChanges(missed);
            }
            return readPage((RegistryCall.RangePage) call);
        } catch (RegistryConnection.CallFailedException e) {
            return reportEtcdError(e);
        }
    }

    private String callEtcd(int server, RegistryRequest request) throws RegistryConnection.CallFailedException {
        return connection
                .call(address(server), request, watcher.callTimeoutAtMs(), false)
                .body();
    }

    private CallOutcome verifyHistory(RegistryCall.VerifyHistory call)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        String body = callEtcd(
                call.server(),
                EtcdRequests.verifyHistory(
                        settings.follow(), call.proofs(), call.deletedKey(), call.deletedAtRevision()));
        EtcdResponses.HistoryResponse response = EtcdResponses.history(body, call.proofs(), call.deletedKey() != null);
        synchronized (lock) {
            return outcome(watcher.onHistoryVerified(
                    nowMs(), response.revision(), response.counts(), response.found(), response.deletedKeyFound()));
        }
    }

    private CallOutcome readMissedChanges(RegistryCall.ReadMissedChanges call)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        String body = callEtcd(call.server(), EtcdRequests.missedChanges(settings.follow(), call.sinceRevisions()));
        EtcdResponses.MissedChangesResponse response = EtcdResponses.missedChanges(body);
        synchronized (lock) {
            return outcome(
                    watcher.onMissedChanges(nowMs(), response.revision(), response.counts(), response.changed()));
        }
    }

    private CallOutcome readPage(RegistryCall.RangePage call)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        String prefix = settings.follow().get(call.target());
        String body =
                callEtcd(call.server(), EtcdRequests.range(prefix, call.afterKey(), call.revision(), call.limit()));
        EtcdResponses.RangeResponse response = EtcdResponses.range(body);
        synchronized (lock) {
            return outcome(watcher.onPage(nowMs(), response.revision(), response.entries(), response.more()));
        }
    }

    /** An error of etcd's own that the watcher knows what to do about; any other one is thrown on. */
    private CallOutcome reportEtcdError(RegistryConnection.CallFailedException failure)
            throws RegistryConnection.CallFailedException {
        synchronized (lock) {
            return switch (errorKind(failure)) {
                case COMPACTED -> outcome(watcher.onCompacted(nowMs()));
                case AHEAD -> outcome(watcher.onFutureRevision(nowMs(), null));
                case DENIED -> CallOutcome.DENIED;
                case OTHER -> throw failure;
            };
        }
    }

    private static EtcdResponses.ErrorKind errorKind(RegistryConnection.CallFailedException failure) {
        return failure.outcome == CallOutcome.ERROR
                ? EtcdResponses.errorKind(failure.status, failure.body)
                : EtcdResponses.ErrorKind.OTHER;
    }

    private CallOutcome watch(RegistryCall.Watch call)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        RegistryProtocolException[] malformed = new RegistryProtocolException[1];
        try {
            CallOutcome outcome = connection.stream(
                    address(call.server()),
                    EtcdRequests.watch(settings.follow(), call.fromRevisions()),
                    watcher::callTimeoutAtMs,
                    call.endAtMs(),
                    line -> {
                        try {
                            return takeWatchLine(line);
                        } catch (RegistryProtocolException e) {
                            malformed[0] = e;
                            return false;
                        }
                    });
            if (malformed[0] != null) {
                throw malformed[0];
            }
            return outcome;
        } catch (RegistryConnection.CallFailedException e) {
            throw errorKind(e) == EtcdResponses.ErrorKind.DENIED
                    ? new RegistryConnection.CallFailedException(CallOutcome.DENIED, e.status, e.body)
                    : e;
        }
    }

    /** Hands a line of the stream to the watcher; false ends the stream. */
    private boolean takeWatchLine(String line) throws RegistryProtocolException {
        EtcdResponses.WatchResponse response = EtcdResponses.watchLine(line);
        int target = (int) response.watchId() - 1;
        synchronized (lock) {
            if (closed) {
                return false;
            }
            long nowMs = nowMs();
            if (response.canceled()) {
                return watcher.onWatchCanceled(nowMs, response.compactRevision(), response.cancelReason());
            }
            if (target < 0 || target >= settings.follow().size()) {
                return true; // no watch of this stream
            }
            if (response.created()) {
                return watcher.onWatchCreated(nowMs, response.revision(), target);
            }
            boolean hasChanges = !response.entries().isEmpty() || response.fragment();
            return hasChanges
                    ? watcher.onChanges(nowMs, response.revision(), target, response.entries(), response.fragment())
                    : watcher.onProgress(nowMs, response.revision(), target);
        }
    }

    // ------------------------------------------------------------ Consul

    private CallOutcome queryConsul(RegistryCall.BlockingQuery call)
            throws RegistryConnection.CallFailedException, RegistryProtocolException {
        boolean keys = settings.dialect() == Dialect.CONSUL_KV;
        String name = settings.follow().get(call.target());
        RegistryRequest request = keys
                ? ConsulRequests.keys(name, call.index(), call.waitMs(), call.consistent())
                : ConsulRequests.health(name, call.index(), call.waitMs(), call.consistent());
        RegistryConnection.Response response =
                connection.call(address(call.server()), request, watcher.callTimeoutAtMs(), keys);
        long index = response.number(INDEX_HEADER, -1);
        if (index < 0) {
            throw new RegistryConnection.CallFailedException(CallOutcome.MALFORMED, 0, "no " + INDEX_HEADER);
        }
        List<RegistryEntry> entries =
                keys ? ConsulResponses.keys(response.body()) : ConsulResponses.health(response.body());
        boolean leaderKnown = !"false".equalsIgnoreCase(response.head().get(KNOWN_LEADER_HEADER));
        synchronized (lock) {
            return outcome(watcher.onQueryResult(
                    nowMs(), index, leaderKnown, response.number(LAST_CONTACT_HEADER, 0), entries));
        }
    }
}
