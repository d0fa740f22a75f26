package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What counts as offered load. */
class ArrivalStatisticsTest {
    /** How many are taken after a rush of jobs, each served at once, so that no backlog stands. */
    private static int acceptedAfterARush(double leftMs) {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        for (int i = 1; i <= 900; i++) {
            if (!host.accept(i, 0, 500, 0, leftMs).attempts.isEmpty()) {
                host.endAttempt(i, AttemptOutcome.SERVED);
            }
            host.nowMs += 30;
        }
        int taken = 0;
        while (host.accept(1000 + taken, 500).result.isEmpty()) {
            taken++;
        }
        return taken;
    }

    /** What is refused comes again: counted as load, it would keep the prices up that refused it. */
    @Test
    void laterAttemptsOfClientsDoNotRaiseThePrice() {
        int rushed = acceptedAfterARush(10_000), calm = acceptedAfterARush(9_000);
        assertTrue(calm > rushed, calm + " after later tries, " + rushed + " after as many jobs");
    }
}
