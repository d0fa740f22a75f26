package maplespread.facade;

import maplespread.decision.Dispatch;

/** What the module says of a transaction: the answers of {@link Dispatcher#pick}. */
public sealed interface Word permits Branch, Word.BusyAnswer, Word.Failed, Word.Left {
    /** Refuse it; trying again is harmless, after that pause where it is above 0. */
    record BusyAnswer(double pauseMs, Dispatch.Refusal why) implements Word {}

    /** It ends without a result, and nothing is promised. */
    record Failed(Dispatch.Refusal why) implements Word {}

    /** Nobody waits for it any more. */
    record Left() implements Word {}
}
