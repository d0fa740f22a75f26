package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What counts as offered load. */
class ArrivalStatisticsTest {
    /**
     * Returns how many requests are accepted after a burst of requests, each served at once, so that there is no
     * backlog.
     *
     * @param remainingMs time to the deadline of the burst's requests; below the class's deadline in later attempts
     */
    private static int acceptedAfterABurst(double remainingMs) {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        for (int i = 1; i <= 900; i++) {
            if (!host.accept(i, 0, 500, 0, remainingMs).attempts.isEmpty()) {
                host.endAttempt(i, AttemptOutcome.SERVED);
            }
            host.nowMs += 30;
        }
        int accepted = 0;
        while (host.accept(1000 + accepted, 500).result.isEmpty()) {
            accepted++;
        }
        return accepted;
    }

    /**
     * Guards against rejections that sustain themselves: clients send rejected requests again, and counted as offered
     * load these would keep up the costs for which requests are rejected.
     */
    @Test
    void laterAttemptsOfClientsDoNotRaiseTheCosts() {
        int afterFirstAttempts = acceptedAfterABurst(10_000);
        int afterLaterAttempts = acceptedAfterABurst(9_000);
        assertTrue(
                afterLaterAttempts > afterFirstAttempts,
                afterLaterAttempts + " accepted after later attempts, " + afterFirstAttempts + " after first attempts");
    }
}
