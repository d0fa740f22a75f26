package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What counts as offered load. */
class ArrivalStatisticsTest {
    /** How many requests are accepted after a rush of them, each served at once, so that there is no backlog. */
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

    /** Rejected requests come again: counted as load, they would keep up the costs that rejected them. */
    @Test
    void laterAttemptsOfClientsDoNotRaiseThePrice() {
        int rushed = acceptedAfterARush(10_000);
        int calm = acceptedAfterARush(9_000);
        assertTrue(calm > rushed, calm + " after later tries, " + rushed + " after as many jobs");
    }
}
