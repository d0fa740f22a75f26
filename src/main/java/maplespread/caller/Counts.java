package maplespread.caller;

import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/** What was answered since the last line in the log: for those who watch the program. */
public final class Counts {
    final LongAdder served = new LongAdder();
    final LongAdder busy = new LongAdder();
    final LongAdder failed = new LongAdder();
    final LongAdder faulty = new LongAdder();
    final LongAdder shed = new LongAdder();
    final LongAdder left = new LongAdder();

    /** Writes one line and starts anew; nothing where nothing was answered. */
    public void log(int legs) {
        long s = served.sumThenReset();
        long b = busy.sumThenReset();
        long f = failed.sumThenReset();
        long l = left.sumThenReset();
        long bad = faulty.sumThenReset();
        long cut = shed.sumThenReset();
        if (s + b + f + l + bad + cut > 0) {
            Logger.info("served {}, busy {}, failed {}, clients left {}; faulty requests {}, silent legs "
                + "closed for others {}; {} caller legs", s, b, f, l, bad, cut, legs);
        }
    }
}
