package maplespread.release;

/**
 * What a driver's host carries out. A dispatcher's is for this instance itself; a worker's for the registry,
 * or for the operator's hand. Both may come again and again, and late.
 */
public sealed interface Order {
    String member();

    /** The run that it is about: any other run refuses it. */
    long run();

    /** The number of the leave. */
    long leave();

    /**
     * Drain. Refused once a {@link Recall} of this or a later number was carried out; the host then says
     * {@link Driver#recalled} again, for the one that was told may be gone.
     */
    record Drain(String member, long run, long leave) implements Order {}

    /**
     * Serve on, or again, and refuse every later {@link Drain} up to this number. When that is sure, the host
     * says so by {@link Driver#recalled}.
     */
    record Recall(String member, long run, long leave) implements Order {}
}
