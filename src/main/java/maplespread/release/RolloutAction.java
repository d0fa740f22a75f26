package maplespread.release;

/**
 * What a driver's host carries out. A dispatcher's is for this instance itself; a worker's for the registry,
 * or for the operator's hand. Both may come again and again, and late.
 */
public sealed interface RolloutAction {
    String member();

    /** The run that it is about: any other run refuses it. */
    long incarnation();

    /** The number of the leave. */
    long outageNumber();

    /**
     * Drain. Refused once a {@link CancelDrain} of this or a later number was carried out; the host then says
     * {@link RolloutController#drainCancelled} again, for the one that was told may be gone.
     */
    record Drain(String member, long incarnation, long outageNumber) implements RolloutAction {}

    /**
     * Serve on, or again, and refuse every later {@link Drain} up to this number. When that is sure, the host
     * says so by {@link RolloutController#drainCancelled}.
     */
    record CancelDrain(String member, long incarnation, long outageNumber) implements RolloutAction {}
}
