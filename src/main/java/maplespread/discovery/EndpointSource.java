package maplespread.discovery;

import java.io.Closeable;
import java.net.InetSocketAddress;

/** Where the workers are learned from. It reports what it learns by itself, from {@link #start} on. */
public interface EndpointSource extends Closeable {
    /** Begins; returns at once. */
    void start();

    /** The module's word that the list is wanted. A source that keeps its own pace may pass it over. */
    void watch();

    /** The platform's discovery is at another address; false where that changes nothing here. */
    boolean moveTo(InetSocketAddress address);

    /** Why nothing it has said should be relied on any more; null where it may be. */
    String notReadyReason();

    /** Ends; nothing is reported after it. */
    @Override
    void close();
}
