package maplespread.facade;

import maplespread.decision.Dispatch;

/** What the module says of a transaction: the answers of {@link Dispatcher#decide}. */
public sealed interface Decision permits Attempt, Decision.BusyAnswer, Decision.Failed, Decision.Left {
    /** Refuse it; trying again is harmless, after that pause where it is above 0. */
    record BusyAnswer(double pauseMs, Dispatch.Refusal why) implements Decision {}

    /** It ends without a result, and nothing is promised. */
    record Failed(Dispatch.Refusal why) implements Decision {}

    /** Nobody waits for it any more. */
    record Left() implements Decision {}
}
