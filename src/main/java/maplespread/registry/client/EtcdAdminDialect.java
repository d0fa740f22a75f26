package maplespread.registry.client;

import java.util.ArrayList;
import java.util.List;
import maplespread.registry.RegistryEntry;
import maplespread.registry.client.RegistryAdmin.RegistryAdminException;
import maplespread.registry.wire.EtcdRequests;
import maplespread.registry.wire.EtcdResponses;
import maplespread.registry.wire.RegistryProtocolException;

/** The operators' tasks at etcd: keys under prefixes, with leases. */
final class EtcdAdminDialect implements AdminDialect {
    private final AdminCalls calls;
    private final int pageSize;

    EtcdAdminDialect(AdminCalls calls, int pageSize) {
        this.calls = calls;
        this.pageSize = pageSize;
    }

    @Override
    public List<RegistryEntry> entries(String prefix) throws RegistryAdminException, RegistryProtocolException {
        List<RegistryEntry> all = new ArrayList<>();
        String afterKey = "";
        long revision = 0;
        while (true) {
            EtcdResponses.RangeResponse page =
                    EtcdResponses.range(calls.read(EtcdRequests.range(prefix, afterKey, revision, pageSize)));
            all.addAll(page.entries());
            if (!page.more()) {
                return all;
            }
            afterKey = page.entries().get(page.entries().size() - 1).key();
            revision = revision == 0 ? page.revision().number() : revision;
        }
    }

    @Override
    public String keyOf(String prefix, String worker) {
        return RegistryAdmin.keyUnder(prefix, worker);
    }

    @Override
    public void put(String prefix, String worker, String value, String lease, long ttlSeconds)
            throws RegistryAdminException {
        long leaseId = lease.isEmpty() ? 0 : Long.parseLong(lease);
        calls.write(EtcdRequests.put(keyOf(prefix, worker), value, leaseId));
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
    public boolean compareAndSwap(RegistryEntry entry, String value)
            throws RegistryAdminException, RegistryProtocolException {
        return EtcdResponses.swapped(calls.write(EtcdRequests.compareAndSwap(entry.key(), value, entry.revision())));
    }

    @Override
    public void remove(RegistryEntry entry, String worker) throws RegistryAdminException {
        calls.write(EtcdRequests.delete(entry.key()));
    }

    @Override
    public String grantLease(long seconds) throws RegistryAdminException, RegistryProtocolException {
        return Long.toString(EtcdResponses.lease(calls.write(EtcdRequests.grantLease(seconds))));
    }

    @Override
    public boolean renewLease(String lease, String worker) throws RegistryAdminException, RegistryProtocolException {
        String line =
                calls.read(EtcdRequests.keepLeaseAlive(Long.parseLong(lease))).strip();
        return EtcdResponses.remainingLeaseSeconds(line) > 0;
    }

    @Override
    public void revokeLease(String lease, String worker) throws RegistryAdminException {
        calls.write(EtcdRequests.revokeLease(Long.parseLong(lease)));
    }
}
