package maplespread.partition.client;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import maplespread.partition.SlotAssignment;

/** The addresses where other dispatchers accept forwarded requests, as each last sent it. Thread-safe. */
final class PeerAddresses {
    private record PeerAddress(long incarnation, String address) {}

    private final Map<String, PeerAddress> byName = new ConcurrentHashMap<>();

    /** Stores a dispatcher's address; returns whether this incarnation of the dispatcher was unknown before. */
    boolean update(String name, long incarnation, String address) {
        PeerAddress last = byName.put(name, new PeerAddress(incarnation, address));
        return last == null || last.incarnation != incarnation;
    }

    /** The address of a member, {@code NAME#INCARNATION}; null if only another incarnation or none is known. */
    String of(String member) {
        PeerAddress peer = byName.get(SlotAssignment.dispatcherName(member));
        return peer != null && member.endsWith("#" + peer.incarnation) ? peer.address : null;
    }

    Collection<String> all() {
        return byName.values().stream().map(PeerAddress::address).toList();
    }
}
