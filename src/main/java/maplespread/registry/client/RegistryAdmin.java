package maplespread.registry.client;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import maplespread.registry.RegistryEntry;
import maplespread.registry.RegistrySettings;
import maplespread.registry.wire.RegistryProtocolException;

/**
 * What operators and workers write into a registry: single calls, each to the first server that answers. Used by
 * one thread, but for {@link #close}.
 */
public final class RegistryAdmin implements Closeable {
    /** A task could not be done; the message says why, and whether it may have been done. */
    public static final class RegistryAdminException extends Exception {
        private static final long serialVersionUID = 1;

        RegistryAdminException(String reason) {
            super(reason);
        }
    }

    private static final int MAX_SWAP_ATTEMPTS = 5;
    private static final String WORKER_MEMBER = "instanceId";
    private static final String STATE_MEMBER = "lifecycle";
    private static final String STARTED_MEMBER = "startedAtMs";
    /** At a worker: the newest planned outage whose drain was cancelled. */
    private static final String CANCELLED_OUTAGE_MEMBER = "leaveTakenBack";

    private static final String SERVING = "SERVING";
    private static final String DRAINING = "DRAINING";

    private final RegistrySettings settings;
    private final RegistryConnection connection;
    private final AdminDialect dialect;

    /** Connects when the first call is made. */
    public RegistryAdmin(RegistrySettings settings) {
        this.settings = settings;
        connection = new RegistryConnection(settings, new TokenFile(settings.tokenFile()));
        AdminCalls calls = new AdminCalls(settings, connection);
        dialect = switch (settings.dialect()) {
            case ETCD -> new EtcdAdminDialect(calls, settings.page());
            case CONSUL_KV -> new ConsulKeysAdminDialect(calls);
            case CONSUL_HEALTH -> new ConsulHealthAdminDialect(calls);
        };
    }

    /** All entries that the settings follow, with their values. */
    public List<RegistryEntry> entries() throws RegistryAdminException {
        try {
            List<RegistryEntry> all = new ArrayList<>();
            for (String followed : settings.follow()) {
                all.addAll(dialect.entries(followed));
            }
            return all;
        } catch (RegistryProtocolException e) {
            throw new RegistryAdminException(e.getMessage());
        }
    }

    /** The worker's entry; null where there is none. */
    private RegistryEntry find(String worker) throws RegistryAdminException {
        RegistryEntry found = null;
        for (RegistryEntry entry : entries()) {
            if (workerOf(entry).equals(worker)) {
                if (found != null) {
                    throw new RegistryAdminException(worker + " stands twice: " + found.key() + " and " + entry.key());
                }
                found = entry;
            }
        }
        return found;
    }

    private static String workerOf(RegistryEntry entry) {
        try {
            JsonObject value = JsonParser.parseString(entry.value()).getAsJsonObject();
            if (value.has(WORKER_MEMBER)) {
                return value.get(WORKER_MEMBER).getAsString();
            }
        } catch (RuntimeException unreadable) {
            // the key names the worker
        }
        return entry.key().substring(entry.key().lastIndexOf('/') + 1);
    }

    /** The key that a worker gets where none is named. */
    public String keyOf(String worker) {
        return dialect.keyOf(settings.follow().get(0), worker);
    }

    /** The worker's key under a prefix, which may lack the last slash. */
    static String keyUnder(String prefix, String worker) {
        return prefix + (prefix.endsWith("/") ? "" : "/") + worker;
    }

    /**
     * Writes a worker in discovery's form. {@code lease}: from {@link #grantLease}, or empty; {@code ttlSeconds}:
     * of a check, where the dialect has these; 0: none.
     */
    public void put(String worker, JsonObject value, String lease, long ttlSeconds) throws RegistryAdminException {
        dialect.put(settings.follow().get(0), worker, value.toString(), lease, ttlSeconds);
    }

    /** Has the worker drain; false where it is not there. Other changes made meanwhile are not undone. */
    public boolean drain(String worker) throws RegistryAdminException {
        return change(worker, value -> {
            value.addProperty(STATE_MEMBER, DRAINING);
            return true;
        });
    }

    /**
     * Has an incarnation of the worker (its start in Unix ms, 1: long ago) drain for a planned outage; false
     * where it is not there, or the outage was cancelled. The mark that {@link #cancelDrain} leaves at the worker
     * is read in one swap with the drain.
     */
    public boolean drain(String worker, long incarnation, long outage) throws RegistryAdminException {
        return change(worker, value -> {
            if (incarnationOf(value) != incarnation || cancelledOutage(value) >= outage) {
                return false;
            }
            value.addProperty(STATE_MEMBER, DRAINING);
            return true;
        });
    }

    /**
     * Has an incarnation of the worker serve on, or again, and marks the outage as cancelled; false where that
     * incarnation is not there. After it no {@link #drain(String, long, long)} for that outage or an earlier one
     * is made.
     */
    public boolean cancelDrain(String worker, long incarnation, long outage) throws RegistryAdminException {
        return change(worker, value -> {
            if (incarnationOf(value) != incarnation) {
                return false;
            }
            value.addProperty(STATE_MEMBER, SERVING);
            value.addProperty(CANCELLED_OUTAGE_MEMBER, Math.max(outage, cancelledOutage(value)));
            return true;
        });
    }

    private static long incarnationOf(JsonObject value) {
        return Math.max(1, value.has(STARTED_MEMBER) ? value.get(STARTED_MEMBER).getAsLong() : 0);
    }

    private static long cancelledOutage(JsonObject value) {
        return value.has(CANCELLED_OUTAGE_MEMBER)
                ? value.get(CANCELLED_OUTAGE_MEMBER).getAsLong()
                : 0;
    }

    /** {@code change}: changes the value, or returns false where the worker is to stay as it is. */
    private boolean change(String worker, Predicate<JsonObject> change) throws RegistryAdminException {
        for (int attempt = 0; attempt < MAX_SWAP_ATTEMPTS; attempt++) {
            RegistryEntry entry = find(worker);
            if (entry == null) {
                return false;
            }
            if (!dialect.hasWritableValues()) {
                dialect.startMaintenance(worker);
                return true;
            }
            JsonObject value;
            boolean wanted;
            try {
                value = JsonParser.parseString(entry.value()).getAsJsonObject();
                wanted = change.test(value);
            } catch (RuntimeException e) {
                throw new RegistryAdminException(entry.key() + " cannot be read: " + e.getMessage());
            }
            if (!wanted) {
                return false;
            }
            if (compareAndSwap(entry, value)) {
                return true;
            }
        }
        throw new RegistryAdminException(worker + " was changed by others each time");
    }

    private boolean compareAndSwap(RegistryEntry entry, JsonObject value) throws RegistryAdminException {
        try {
            return dialect.compareAndSwap(entry, value.toString());
        } catch (RegistryProtocolException e) {
            throw new RegistryAdminException(e.getMessage());
        }
    }

    /** Removes the worker; false where it is not there. */
    public boolean remove(String worker) throws RegistryAdminException {
        RegistryEntry entry = find(worker);
        if (entry == null) {
            return false;
        }
        dialect.remove(entry, worker);
        return true;
    }

    /** A lease, or session, that ends by itself unless it is renewed; empty where a check does its work. */
    public String grantLease(long seconds) throws RegistryAdminException {
        try {
            return dialect.grantLease(seconds);
        } catch (RegistryProtocolException e) {
            throw new RegistryAdminException(e.getMessage());
        }
    }

    /** Has the lease last for its full length again; false where it has ended. */
    public boolean renewLease(String lease, String worker) throws RegistryAdminException {
        try {
            return dialect.renewLease(lease, worker);
        } catch (RegistryProtocolException e) {
            throw new RegistryAdminException(e.getMessage());
        }
    }

    /** Ends the lease, and with it what was written under it. */
    public void revokeLease(String lease, String worker) throws RegistryAdminException {
        dialect.revokeLease(lease, worker);
    }

    @Override
    public void close() {
        connection.close();
    }
}
