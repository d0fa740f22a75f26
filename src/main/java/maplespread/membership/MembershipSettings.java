package maplespread.membership;

import java.util.List;

/**
 * {@code seeds}: addresses asked for the group, also after all others are lost. Times are milliseconds:
 * {@code periodMs} between probes, {@code ackMs} for a direct answer. {@code helpers}: asked to probe where
 * that fails; {@code suspicion}: least time from suspicion to death, in periods times log10 of the group's
 * size; {@code stretch}: how many times as long where nobody confirms it; {@code repeats}: how often news
 * is sent, times the same logarithm; {@code awareness}: most that a member doubts itself; {@code rejoinMs}:
 * between tries to reach seeds and dead members; {@code forgetMs}: how long the dead are remembered; {@code
 * packet}: most bytes.
 */
public record MembershipSettings(
        String name,
        String address,
        List<String> seeds,
        long probePeriodMs,
        long ackTimeoutMs,
        int indirectProbes,
        double suspicionMultiplier,
        int maxSuspicionStretch,
        int retransmitMultiplier,
        int maxLocalHealth,
        long rejoinIntervalMs,
        long departedRetentionMs,
        int maxPacketBytes) {
    public MembershipSettings {
        seeds = List.copyOf(seeds);
    }

    /** A local network: a dead member is known within a second or so. */
    public static MembershipSettings of(String name, String address, List<String> seeds) {
        return new MembershipSettings(name, address, seeds, 100, 30, 3, 5, 6, 4, 8, 1000, 60_000, 1200);
    }
}
