package maplespread.facade;

/** An action that the policy requests beside its decisions on requests: a result of {@link DecisionService#tick}. */
public sealed interface Action {
    /** Requests the worker's load report. */
    record Probe(String worker, String address) implements Action {}

    /** Starts a watch of the endpoint list, or restarts it. */
    record Watch() implements Action {}

    /** Cancels the attempt, whose outcome is still reported. */
    record Cancel(Attempt attempt) implements Action {}
}
