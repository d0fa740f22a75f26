package maplespread.registry.client;

import java.util.List;
import maplespread.registry.RegistryEntry;
import maplespread.registry.client.RegistryAdmin.RegistryAdminException;
import maplespread.registry.wire.ConsulRequests;
import maplespread.registry.wire.ConsulResponses;
import maplespread.registry.wire.RegistryProtocolException;

/** The operators' tasks at Consul's key-value store: keys under prefixes, with sessions as leases. */
final class ConsulKeysAdminDialect implements AdminDialect {
    private static final String DONE = "true";

    private final AdminCalls calls;

    ConsulKeysAdminDialect(AdminCalls calls) {
        this.calls = calls;
    }

    @Override
    public List<RegistryEntry> entries(String prefix) throws RegistryAdminException, RegistryProtocolException {
        return ConsulResponses.keys(calls.readOrNone(ConsulRequests.keys(prefix, 0, 0, true)));
    }

    @Override
    public String keyOf(String prefix, String worker) {
        return RegistryAdmin.keyUnder(prefix, worker);
    }

    @Override
    public void put(String prefix, String worker, String value, String lease, long ttlSeconds)
            throws RegistryAdminException {
        String key = keyOf(prefix, worker);
        if (!calls.write(ConsulRequests.put(key, value, lease)).strip().equals(DONE)) {
            throw new RegistryAdminException(key + " is held by another session");
        }
    }

    @Override
    public boolean hasWritableValues() {
        return true;
    }

    @Override
    public void startMaintenance(String worker) {
        throw new UnsupportedOperationException("a worker's state is a part of its value");
    }

    @Override
    public boolean compareAndSwap(RegistryEntry entry, String value) throws RegistryAdminException {
        return calls.write(ConsulRequests.compareAndSwap(entry.key(), value, entry.revision()))
                .strip()
                .equals(DONE);
    }

    @Override
    public void remove(RegistryEntry entry, String worker) throws RegistryAdminException {
        calls.write(ConsulRequests.delete(entry.key()));
    }

    @Override
    public String grantLease(long seconds) throws RegistryAdminException, RegistryProtocolException {
        return ConsulResponses.session(calls.write(ConsulRequests.createSession(seconds)));
    }

    @Override
    public boolean renewLease(String session, String worker) throws RegistryAdminException {
        return !calls.readOrNone(ConsulRequests.renewSession(session)).isEmpty();
    }

    @Override
    public void revokeLease(String session, String worker) throws RegistryAdminException {
        calls.write(ConsulRequests.destroySession(session));
    }
}
