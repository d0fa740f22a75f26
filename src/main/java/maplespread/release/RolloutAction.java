package maplespread.release;

/**
 * What a {@link RolloutController} wants carried out: for a dispatcher by that instance itself, for a worker at the
 * registry or by an operator's hand. An action may come again and again, and late.
 */
public sealed interface RolloutAction {
    /** The name of the member that it is about. */
    String member();

    /** The incarnation that it is about: any other one refuses it. */
    long incarnation();

    /** The number of the planned outage. */
    long outageNumber();

    /**
     * Drain. To be refused once a {@link CancelDrain} of this or a later number was carried out; whoever refuses it
     * reports {@link RolloutController#drainCancelled} again, as the instance that it was reported to may be gone.
     */
    record Drain(String member, long incarnation, long outageNumber) implements RolloutAction {}

    /**
     * Serve on, or again, and refuse every later {@link Drain} up to this number. Whoever carries it out reports
     * {@link RolloutController#drainCancelled} once that is certain.
     */
    record CancelDrain(String member, long incarnation, long outageNumber) implements RolloutAction {}
}
