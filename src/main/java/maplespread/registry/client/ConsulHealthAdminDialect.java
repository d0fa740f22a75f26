package maplespread.registry.client;

import java.util.List;
import maplespread.registry.RegistryEntry;
import maplespread.registry.client.RegistryAdmin.RegistryAdminException;
import maplespread.registry.wire.ConsulRequests;
import maplespread.registry.wire.ConsulResponses;
import maplespread.registry.wire.RegistryProtocolException;

/** The operators' tasks at Consul's agent: instances of a service, with checks as leases. */
final class ConsulHealthAdminDialect implements AdminDialect {
    private final AdminCalls calls;

    ConsulHealthAdminDialect(AdminCalls calls) {
        this.calls = calls;
    }

    @Override
    public List<RegistryEntry> entries(String service) throws RegistryAdminException, RegistryProtocolException {
        return ConsulResponses.health(calls.read(ConsulRequests.health(service, 0, 0, true)));
    }

    @Override
    public String keyOf(String service, String worker) {
        return worker;
    }

    @Override
    public void put(String service, String worker, String value, String lease, long ttlSeconds)
            throws RegistryAdminException {
        calls.write(ConsulRequests.register(service, worker, value, ttlSeconds));
    }

    @Override
    public boolean hasWritableValues() {
        return false;
    }

    @Override
    public void startMaintenance(String worker) throws RegistryAdminException {
        calls.write(ConsulRequests.maintenance(worker, true));
    }

    @Override
    public boolean compareAndSwap(RegistryEntry entry, String value) {
        throw new UnsupportedOperationException("an instance has no value that can be written");
    }

    @Override
    public void remove(RegistryEntry entry, String worker) throws RegistryAdminException {
        calls.write(ConsulRequests.deregister(worker));
    }

    @Override
    public String grantLease(long seconds) {
        return "";
    }

    @Override
    public boolean renewLease(String lease, String worker) throws RegistryAdminException {
        calls.read(ConsulRequests.passCheck(worker));
        return true;
    }

    @Override
    public void revokeLease(String lease, String worker) throws RegistryAdminException {
        calls.write(ConsulRequests.deregister(worker));
    }
}
