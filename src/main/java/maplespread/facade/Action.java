package maplespread.facade;

/** What the policy wants done that is no decision about a request: the results of {@link DecisionService#tick}. */
public sealed interface Action {
    /** Ask the worker for its load report. */
    record Probe(String worker, String address) implements Action {}

    /** Watch the endpoint list, or watch it anew. */
    record Watch() implements Action {}

    /** Give the attempt up; it still reports an outcome. */
    record Cancel(Attempt attempt) implements Action {}
}
