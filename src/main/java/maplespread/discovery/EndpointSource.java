package maplespread.discovery;

import java.io.Closeable;
import java.net.InetSocketAddress;

/** Learns the workers' endpoints and notifies an {@link EndpointListener}, from {@link #start} on. Thread-safe. */
public interface EndpointSource extends Closeable {
    /** Starts the source; returns at once. */
    void start();

    /** Requests the list for the policy. A source that schedules its own requests may ignore this call. */
    void watch();

    /**
     * Uses the platform's discovery at another address from now on.
     *
     * @return false if this changes nothing for the source
     */
    boolean moveTo(InetSocketAddress address);

    /** Returns why the endpoints from this source are no longer reliable; null if they are reliable. */
    String notReadyReason();

    /** Closes the source; the listener is not notified afterwards. */
    @Override
    void close();
}
