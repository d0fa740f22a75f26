package maplespread.membership;

import java.util.List;

/**
 * The settings of a member.
 *
 * @param name this member's name
 * @param address where others reach it, as host:port
 * @param seeds addresses that are asked for the group, also after all others are lost
 * @param probePeriodMs between probes, in milliseconds
 * @param ackTimeoutMs how long a direct ping waits for its answer, in milliseconds
 * @param indirectProbes how many helpers are asked to ping where a direct ping fails
 * @param suspicionMultiplier shortest time from suspicion to death, in probe periods times log10 of the group's size
 * @param maxSuspicionStretch how many times as long it is where no other member confirms the suspicion
 * @param retransmitMultiplier how often an update is sent, times log10 of the group's size
 * @param maxLocalHealth the highest score by which a member doubts its own timeliness
 * @param rejoinIntervalMs between attempts to reach seeds and dead members, in milliseconds
 * @param departedRetentionMs how long departed members are remembered, in milliseconds
 * @param maxPacketBytes of one packet
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
    private static final long LOCAL_PROBE_PERIOD_MS = 100;
    private static final long LOCAL_ACK_TIMEOUT_MS = 30;
    private static final int INDIRECT_PROBES = 3;
    private static final double SUSPICION_MULTIPLIER = 5;
    private static final int MAX_SUSPICION_STRETCH = 6;
    private static final int RETRANSMIT_MULTIPLIER = 4;
    private static final int MAX_LOCAL_HEALTH = 8;
    private static final long REJOIN_INTERVAL_MS = 1000;
    private static final long DEPARTED_RETENTION_MS = 60_000;
    private static final int MAX_PACKET_BYTES = 1200;

    /** Copies the seeds. */
    public MembershipSettings {
        seeds = List.copyOf(seeds);
    }

    /** Settings for a local network: a dead member is detected within a second or so. */
    public static MembershipSettings of(String name, String address, List<String> seeds) {
        return new MembershipSettings(
                name,
                address,
                seeds,
                LOCAL_PROBE_PERIOD_MS,
                LOCAL_ACK_TIMEOUT_MS,
                INDIRECT_PROBES,
                SUSPICION_MULTIPLIER,
                MAX_SUSPICION_STRETCH,
                RETRANSMIT_MULTIPLIER,
                MAX_LOCAL_HEALTH,
                REJOIN_INTERVAL_MS,
                DEPARTED_RETENTION_MS,
                MAX_PACKET_BYTES);
    }
}
