package maplespread.registry.client;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import maplespread.registry.End;
import maplespread.registry.Item;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.registry.wire.ConsulWire;
import maplespread.registry.wire.EtcdWire;
import maplespread.registry.wire.Request;
import maplespread.registry.wire.WireError;

/** What operators and workers write into a registry: single calls, to the first endpoint that answers. */
public final class RegistryAdmin implements Closeable {
    /** It could not be done; the message says why. */
    public static final class NotDone extends Exception {
        private static final long serialVersionUID = 1;

        NotDone(String why) {
            super(why);
        }
    }

    private static final int SWAPS = 5;
    private static final long ANSWER_MS = 3000; // a person waits: no clock runs here
    private static final String RECALLED = "leaveTakenBack";
    private final RegistrySettings settings;
    private final RegistryLink link;
    private final boolean etcd, health;

    public RegistryAdmin(RegistrySettings settings) {
        this.settings = settings;
        link = new RegistryLink(settings, new TokenFile(settings.tokenFile()));
        etcd = settings.dialect() == Dialect.ETCD;
        health = settings.dialect() == Dialect.CONSUL_HEALTH;
    }

    /**
     * Asks one endpoint after the other. Reads may be asked again elsewhere; a write whose answer was lost
     * may have been made, so that is said and not tried again.
     */
    private String call(Request request, boolean read, boolean orNone) throws NotDone {
        String why = "";
        for (String endpoint : settings.endpoints()) {
            try {
                return link.call(endpoint, request, Follower.nowMs() + ANSWER_MS, orNone)
                        .body();
            } catch (RegistryLink.Failed e) {
                why += (why.isEmpty() ? "" : "; ") + endpoint + ": " + e.getMessage();
                if (!read && e.how != End.REFUSED && e.how != End.DENIED && e.how != End.ERROR) {
                    throw new NotDone(why + " (it may have been done)");
                }
            }
        }
        throw new NotDone(why);
    }

    /** All keys with their values. */
    public List<Item> items() throws NotDone {
        try {
            List<Item> all = new ArrayList<>();
            for (String name : settings.follow()) {
                if (!etcd) {
                    Request ask = health ? ConsulWire.health(name, 0, 0, true) : ConsulWire.keys(name, 0, 0, true);
                    String body = call(ask, true, !health);
                    all.addAll(health ? ConsulWire.health(body) : ConsulWire.keys(body));
                    continue;
                }
                String after = "";
                long revision = 0;
                while (true) {
                    EtcdWire.Page page =
                            EtcdWire.page(call(EtcdWire.range(name, after, revision, settings.page()), true, false));
                    all.addAll(page.items());
                    if (!page.more()) {
                        break;
                    }
                    after = page.items().get(page.items().size() - 1).key();
                    revision = revision == 0 ? page.history().revision() : revision;
                }
            }
            return all;
        } catch (WireError e) {
            throw new NotDone(e.getMessage());
        }
    }

    /** The key under which a worker stands; null where it does not. */
    private Item find(String worker) throws NotDone {
        Item found = null;
        for (Item item : items()) {
            String id;
            try {
                JsonObject o = JsonParser.parseString(item.text()).getAsJsonObject();
                id = o.has("instanceId") ? o.get("instanceId").getAsString() : last(item.key());
            } catch (RuntimeException unreadable) {
                id = last(item.key());
            }
            if (id.equals(worker)) {
                if (found != null) {
                    throw new NotDone(worker + " stands twice: " + found.key() + " and " + item.key());
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

    /** Writes a worker in discovery's form; {@code lease}: from {@link #lease}, or empty. */
    public void put(String worker, JsonObject value, String lease, long ttlSeconds) throws NotDone {
        String text = value.toString();
        if (health) {
            call(ConsulWire.register(settings.follow().get(0), worker, text, ttlSeconds), false, false);
        } else if (etcd) {
            call(EtcdWire.put(keyOf(worker), text, lease.isEmpty() ? 0 : Long.parseLong(lease)), false, false);
        } else if (!call(ConsulWire.put(keyOf(worker), text, -1, lease), false, false)
                .strip()
                .equals("true")) {
            throw new NotDone(keyOf(worker) + " is held by another session");
        }
    }

    /** Has the worker drain; false where it is not there. Other changes made meanwhile are not undone. */
    public boolean drain(String worker) throws NotDone {
        return change(worker, value -> {
            value.addProperty("lifecycle", "DRAINING");
            return true;
        });
    }

    /**
     * Has this run of the worker (its start, 1: long ago) drain by a leave; false where it is not there, or
     * the leave was taken back. The mark that {@link #recall} leaves at the worker is read and heeded in one
     * swap with the drain.
     */
    public boolean drain(String worker, long run, long leave) throws NotDone {
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
    public boolean recall(String worker, long run, long leave) throws NotDone {
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
    private boolean change(String worker, Predicate<JsonObject> change) throws NotDone {
        for (int i = 0; i < SWAPS; i++) {
            Item item = find(worker);
            if (item == null) {
                return false;
            }
            if (health) {
                call(ConsulWire.maintenance(worker, true), false, false);
                return true;
            }
            JsonObject value;
            boolean wanted;
            try {
                value = JsonParser.parseString(item.text()).getAsJsonObject();
                wanted = change.test(value);
            } catch (RuntimeException e) {
                throw new NotDone(item.key() + " cannot be read: " + e.getMessage());
            }
            if (!wanted) {
                return false;
            }
            try {
                boolean done = etcd
                        ? EtcdWire.swapped(
                                call(EtcdWire.swap(item.key(), value.toString(), item.revision()), false, false))
                        : call(ConsulWire.put(item.key(), value.toString(), item.revision(), ""), false, false)
                                .strip()
                                .equals("true");
                if (done) {
                    return true;
                }
            } catch (WireError e) {
                throw new NotDone(e.getMessage());
            }
        }
        throw new NotDone(worker + " was changed by others each time");
    }

    /** Removes the worker; false where it is not there. */
    public boolean remove(String worker) throws NotDone {
        Item item = find(worker);
        if (item == null) {
            return false;
        }
        call(
                health
                        ? ConsulWire.deregister(worker)
                        : etcd ? EtcdWire.delete(item.key()) : ConsulWire.delete(item.key()),
                false,
                false);
        return true;
    }

    /** A lease, or session, that ends by itself unless it is kept; empty where a check does its work. */
    public String lease(long seconds) throws NotDone {
        try {
            return health
                    ? ""
                    : etcd
                            ? Long.toString(EtcdWire.lease(call(EtcdWire.grant(seconds), false, false)))
                            : ConsulWire.session(call(ConsulWire.session(seconds), false, false));
        } catch (WireError e) {
            throw new NotDone(e.getMessage());
        }
    }

    /** Keeps the lease for its length again; false where it has ended. */
    public boolean keep(String lease, String worker) throws NotDone {
        if (health) {
            call(ConsulWire.pass(worker), true, false);
            return true;
        }
        if (!etcd) {
            return !call(ConsulWire.renew(lease), true, true).isEmpty();
        }
        try {
            return EtcdWire.left(call(EtcdWire.keepAlive(Long.parseLong(lease)), true, false)
                            .strip())
                    > 0;
        } catch (WireError e) {
            throw new NotDone(e.getMessage());
        }
    }

    /** Ends the lease, and with it what was written under it. */
    public void end(String lease, String worker) throws NotDone {
        if (health) {
            call(ConsulWire.deregister(worker), false, false);
        } else if (etcd) {
            call(EtcdWire.revoke(Long.parseLong(lease)), false, false);
        } else {
            call(ConsulWire.destroy(lease), false, false);
        }
    }

    @Override
    public void close() {
        link.close();
    }
}
