package maplespread.release;

/**
 * An action that a {@link RolloutController} requests: for a dispatcher, the instance carries it out itself; for a
 * worker, the registry or an operator does. An action may be repeated and may arrive late.
 */
public sealed interface RolloutAction {
    /** The name of the member. */
    String member();

    /** The incarnation of the member; any other one rejects the action. */
    long incarnation();

    /** The number of the planned outage. */
    long outageNumber();

    /**
     * Drains the member. Rejected once a {@link CancelDrain} of this or a later number was carried out; whoever rejects
     * it reports {@link RolloutController#drainCancelled} again, as the instance that was notified may have ended.
     */
    record Drain(String member, long incarnation, long outageNumber) implements RolloutAction {}

    /**
     * Keeps the member in service or returns it to service, and rejects every later {@link Drain} up to this number.
     * Whoever carries it out reports {@link RolloutController#drainCancelled} once such drains are certainly rejected.
     */
    record CancelDrain(String member, long incarnation, long outageNumber) implements RolloutAction {}
}
