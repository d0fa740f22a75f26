package maplespread.facade;

import maplespread.policy.RejectionReason;

/** What the policy has decided about a request: the results of {@link DecisionService#decide}. */
public sealed interface Decision permits Attempt, Decision.Rejected, Decision.Failed, Decision.ClientLeft {
    /** No worker has run it: a retry is safe, after {@code retryAfterMs} milliseconds where that is above 0. */
    record Rejected(double retryAfterMs, RejectionReason reason) implements Decision {}

    /** It ends without a result. It may have run: a retry is not known to be safe. */
    record Failed(RejectionReason reason) implements Decision {}

    /** Its client has left, so nobody waits for a result. */
    record ClientLeft() implements Decision {}
}
