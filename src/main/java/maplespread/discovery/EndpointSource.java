package maplespread.discovery;

import java.io.Closeable;
import java.net.InetSocketAddress;

/** Learns the workers' endpoints and notifies an {@link EndpointListener}, from {@link #start} on. Thread-safe. */
public interface EndpointSource extends Closeable {
    /** Begins; returns at once. */
    void start();

    /** The policy wants the list. A source that decides itself when to ask may ignore it. */
    void watch();

    /** The platform's discovery is at another address; false where that changes nothing here. */
    boolean moveTo(InetSocketAddress address);

    /** Why nothing that it has learned should be relied on any more; null where it may be. */
    String notReadyReason();

    /** Ends; the listener is not notified after it. */
    @Override
    void close();
}
