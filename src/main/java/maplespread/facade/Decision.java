package maplespread.facade;

import maplespread.policy.RejectionReason;

/** The policy's decision on a request: the result of {@link DecisionService#decide}. */
public sealed interface Decision permits Attempt, Decision.Rejected, Decision.Failed, Decision.ClientLeft {
    /** No worker has run the request: a retry is safe, after {@code retryAfterMs} milliseconds if above 0. */
    record Rejected(double retryAfterMs, RejectionReason reason) implements Decision {}

    /** The request ends without a result. It may have run, so a retry may not be safe. */
    record Failed(RejectionReason reason) implements Decision {}

    /** The client has left, so no response is sent. */
    record ClientLeft() implements Decision {}
}
