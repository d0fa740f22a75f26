package maplespread.registry.client;

import java.util.List;
import maplespread.registry.RegistryEntry;
import maplespread.registry.client.RegistryAdmin.RegistryAdminException;
import maplespread.registry.wire.RegistryProtocolException;

/** How {@link RegistryAdmin}'s tasks are done in one dialect. {@code followed}: a key prefix or a service. */
interface AdminDialect {
    /** All entries under the prefix, or of the service. */
    List<RegistryEntry> entries(String followed) throws RegistryAdminException, RegistryProtocolException;

    /** The key that a worker gets where none is named. */
    String keyOf(String followed, String worker);

    /** Writes a worker; {@code lease}: from {@link #grantLease}, or empty. */
    void put(String followed, String worker, String value, String lease, long ttlSeconds) throws RegistryAdminException;

    /** Whether a worker's state is a part of its value; if not, {@link #startMaintenance} drains it. */
    boolean hasWritableValues();

    /** Has a worker drain whose state is no part of its value. */
    void startMaintenance(String worker) throws RegistryAdminException;

    /** Writes a value, only if the entry is unchanged since it was read; whether it was. */
    boolean compareAndSwap(RegistryEntry entry, String value) throws RegistryAdminException, RegistryProtocolException;

    /** Removes a worker. */
    void remove(RegistryEntry entry, String worker) throws RegistryAdminException;

    /** A lease that ends by itself; empty where a check does its work. */
    String grantLease(long seconds) throws RegistryAdminException, RegistryProtocolException;

    /** Has the lease last for its full length again; false where it has ended. */
    boolean renewLease(String lease, String worker) throws RegistryAdminException, RegistryProtocolException;

    /** Ends the lease, and with it what was written under it. */
    void revokeLease(String lease, String worker) throws RegistryAdminException;
}
