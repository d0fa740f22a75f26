package maplespread.facade;

/** What the module wants done that answers no transaction: the results of {@link DecisionService#tick}. */
public sealed interface Action {
    /** Ask the worker for its load. */
    record Probe(String worker, String address) implements Action {}

    /** Subscribe to the route set. */
    record Watch() implements Action {}

    /** Give the branch up. */
    record Cancel(Attempt attempt) implements Action {}
}
