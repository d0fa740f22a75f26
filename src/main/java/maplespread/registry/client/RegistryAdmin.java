package maplespread.registry.client;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import maplespread.registry.CallOutcome;
import maplespread.registry.RegistryEntry;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.registry.wire.ConsulProtocol;
import maplespread.registry.wire.EtcdProtocol;
import maplespread.registry.wire.RegistryProtocolException;
import maplespread.registry.wire.RegistryRequest;

/** What operators and workers write into a registry: single calls, to the first endpoint that answers. */
public final class RegistryAdmin implements Closeable {
    /** It could not be done; the message says why. */
    public static final class RegistryAdminException extends Exception {
        private static final long serialVersionUID = 1;

        RegistryAdminException(String why) {
            super(why);
        }
    }

    private static final int SWAPS = 5;
    private static final long ANSWER_MS = 3000; // a person waits: no clock runs here
    private static final String RECALLED = "leaveTakenBack";
    private final RegistrySettings settings;
    private final RegistryConnection link;
    private final boolean etcd, health;

    public RegistryAdmin(RegistrySettings settings) {
        this.settings = settings;
        link = new RegistryConnection(settings, new TokenFile(settings.tokenFile()));
        etcd = settings.dialect() == Dialect.ETCD;
        health = settings.dialect() == Dialect.CONSUL_HEALTH;
    }

    /**
     * Asks one endpoint after the other. Reads may be asked again elsewhere; a write whose answer was lost
     * may have been made, so that is said and not tried again.
     */
    private String call(RegistryRequest request, boolean read, boolean orNone) throws RegistryAdminException {
        String why = "";
        for (String endpoint : settings.endpoints()) {
            try {
                return link.call(endpoint, request, RegistryClient.nowMs() + ANSWER_MS, orNone)
                        .body();
            } catch (RegistryConnection.CallFailedException e) {
                why += (why.isEmpty() ? "" : "; ") + endpoint + ": " + e.getMessage();
                if (!read
                        && e.how != CallOutcome.REFUSED
                        && e.how != CallOutcome.DENIED
                        && e.how != CallOutcome.ERROR) {
                    throw new RegistryAdminException(why + " (it may have been done)");
                }
            }
        }
        throw new RegistryAdminException(why);
    }

    /** All keys with their values. */
    public List<RegistryEntry> entries() throws RegistryAdminException {
        try {
            List<RegistryEntry> all = new ArrayList<>();
            for (String name : settings.follow()) {
                if (!etcd) {
                    RegistryRequest ask =
                            health ? ConsulProtocol.health(name, 0, 0, true) : ConsulProtocol.keys(name, 0, 0, true);
                    String body = call(ask, true, !health);
                    all.addAll(health ? ConsulProtocol.health(body) : ConsulProtocol.keys(body));
                    continue;
                }
                String after = "";
                long revision = 0;
                while (true) {
                    EtcdProtocol.RangeResponse page = EtcdProtocol.page(
                            call(EtcdProtocol.range(name, after, revision, settings.page()), true, false));
                    all.addAll(page.entries());
                    if (!page.more()) {
                        break;
                    }
                    after = page.entries().get(page.entries().size() - 1).key();
                    revision = revision == 0 ? page.revision().number() : revision;
                }
            }
            return all;
        } catch (RegistryProtocolException e) {
            throw new RegistryAdminException(e.getMessage());
        }
    }

    /** The key under which a worker stands; null where it does not. */
    private RegistryEntry find(String worker) throws RegistryAdminException {
        RegistryEntry found = null;
        for (RegistryEntry item : entries()) {
            String id;
            try {
                JsonObject o = JsonParser.parseString(item.value()).getAsJsonObject();
                id = o.has("instanceId") ? o.get("instanceId").getAsString() : last(item.key());
            } catch (RuntimeException unreadable) {
                id = last(item.key());
            }
            if (id.equals(worker)) {
                if (found != null) {
                    throw new RegistryAdminException(worker + " stands twice: " + found.key() + " and " + item.key());
                }
                found = item;
            }
        }
        return found;
    }

    private static String last(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }

    /** The key that a worker gets where none is named. */
    public String keyOf(String worker) {
        String first = settings.follow().get(0);
        return health ? worker : first + (first.endsWith("/") ? "" : "/") + worker;
    }

    /** Writes a worker in discovery's form; {@code lease}: from {@link #grantLease}, or empty. */
    public void put(String worker, JsonObject value, String lease, long ttlSeconds) throws RegistryAdminException {
        String text = value.toString();
        if (health) {
            call(ConsulProtocol.register(settings.follow().get(0), worker, text, ttlSeconds), false, false);
        } else if (etcd) {
            call(EtcdProtocol.put(keyOf(worker), text, lease.isEmpty() ? 0 : Long.parseLong(lease)), false, false);
        } else if (!call(ConsulProtocol.put(keyOf(worker), text, -1, lease), false, false)
                .strip()
                .equals("true")) {
            throw new RegistryAdminException(keyOf(worker) + " is held by another session");
        }
    }

    /** Has the worker drain; false where it is not there. Other changes made meanwhile are not undone. */
    public boolean drain(String worker) throws RegistryAdminException {
        return change(worker, value -> {
            value.addProperty("lifecycle", "DRAINING");
            return true;
        });
    }

    /**
     * Has this run of the worker (its start, 1: long ago) drain by a leave; false where it is not there, or
     * the leave was taken back. The mark that {@link #cancelDrain} leaves at the worker is read and heeded in one
     * swap with the drain.
     */
    public boolean drain(String worker, long run, long leave) throws RegistryAdminException {
        return change(worker, value -> {
            if (run(value) != run || mark(value) >= leave) {
                return false;
            }
            value.addProperty("lifecycle", "DRAINING");
            return true;
        });
    }

    /**
     * Has this run of the worker serve on, or again, and marks the leave as taken back; false where that run
     * is not there. After it no {@link #drain(String, long, long)} by that leave or an earlier one is made.
     */
    public boolean cancelDrain(String worker, long run, long leave) throws RegistryAdminException {
        return change(worker, value -> {
            if (run(value) != run) {
                return false;
            }
            value.addProperty("lifecycle", "SERVING");
            value.addProperty(RECALLED, Math.max(leave, mark(value)));
            return true;
        });
    }

    private static long run(JsonObject value) {
        return Math.max(1, value.has("startedAtMs") ? value.get("startedAtMs").getAsLong() : 0);
    }

    private static long mark(JsonObject value) {
        return value.has(RECALLED) ? value.get(RECALLED).getAsLong() : 0;
    }

    /** {@code change}: false where the worker is to stay as it is. */
    private boolean change(String worker, Predicate<JsonObject> change) throws RegistryAdminException {
        for (int i = 0; i < SWAPS; i++) {
            RegistryEntry item = find(worker);
            if (item == null) {
                return false;
            }
            if (health) {
                call(ConsulProtocol.maintenance(worker, true), false, false);
                return true;
            }
            JsonObject value;
            boolean wanted;
            try {
                value = JsonParser.parseString(item.value()).getAsJsonObject();
                wanted = change.test(value);
            } catch (RuntimeException e) {
                throw new RegistryAdminException(item.key() + " cannot be read: " + e.getMessage());
            }
            if (!wanted) {
                return false;
            }
            try {
                boolean done = etcd
                        ? EtcdProtocol.swapped(
                                call(EtcdProtocol.swap(item.key(), value.toString(), item.revision()), false, false))
                        : call(ConsulProtocol.put(item.key(), value.toString(), item.revision(), ""), false, false)
                                .strip()
                                .equals("true");
                if (done) {
                    return true;
                }
            } catch (RegistryProtocolException e) {
                throw new RegistryAdminException(e.getMessage());
            }
        }
        throw new RegistryAdminException(worker + " was changed by others each time");
    }

    /** Removes the worker; false where it is not there. */
    public boolean remove(String worker) throws RegistryAdminException {
        RegistryEntry item = find(worker);
        if (item == null) {
            return false;
        }
        call(
                health
                        ? ConsulProtocol.deregister(worker)
                        : etcd ? EtcdProtocol.delete(item.key()) : ConsulProtocol.delete(item.key()),
                false,
                false);
        return true;
    }

    /** A lease, or session, that ends by itself unless it is kept; empty where a check does its work. */
    public String grantLease(long seconds) throws RegistryAdminException {
        try {
            return health
                    ? ""
                    : etcd
                            ? Long.toString(EtcdProtocol.lease(call(EtcdProtocol.grant(seconds), false, false)))
                            : ConsulProtocol.session(call(ConsulProtocol.session(seconds), false, false));
        } catch (RegistryProtocolException e) {
            throw new RegistryAdminException(e.getMessage());
        }
    }

    /** Keeps the lease for its length again; false where it has ended. */
    public boolean renewLease(String lease, String worker) throws RegistryAdminException {
        if (health) {
            call(ConsulProtocol.pass(worker), true, false);
            return true;
        }
        if (!etcd) {
            return !call(ConsulProtocol.renew(lease), true, true).isEmpty();
        }
        try {
            return EtcdProtocol.left(call(EtcdProtocol.keepAlive(Long.parseLong(lease)), true, false)
                            .strip())
                    > 0;
        } catch (RegistryProtocolException e) {
            throw new RegistryAdminException(e.getMessage());
        }
    }

    /** Ends the lease, and with it what was written under it. */
    public void revokeLease(String lease, String worker) throws RegistryAdminException {
        if (health) {
            call(ConsulProtocol.deregister(worker), false, false);
        } else if (etcd) {
            call(EtcdProtocol.revoke(Long.parseLong(lease)), false, false);
        } else {
            call(ConsulProtocol.destroy(lease), false, false);
        }
    }

    @Override
    public void close() {
        link.close();
    }
}
