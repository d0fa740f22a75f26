package maplespread.facade;

import maplespread.policy.RejectionReason;

/** What the module says of a transaction: the answers of {@link DecisionService#decide}. */
public sealed interface Decision permits Attempt, Decision.Rejected, Decision.Failed, Decision.ClientLeft {
    /** Refuse it; trying again is harmless, after that pause where it is above 0. */
    record Rejected(double retryAfterMs, RejectionReason reason) implements Decision {}

    /** It ends without a result, and nothing is promised. */
    record Failed(RejectionReason reason) implements Decision {}

    /** Nobody waits for it any more. */
    record ClientLeft() implements Decision {}
}
