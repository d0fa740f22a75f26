package maplespread.partition.client;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import maplespread.partition.HeartbeatTable;

/**
 * A message between members about leases, as JSON on the cluster transport's channel. A field that a kind does not use
 * is 0, false or null. The field names on the wire differ from those in the code and are kept for members of earlier
 * versions.
 *
 * @param incarnation the sender's incarnation
 * @param round in a lease request, the sender's round; in a lease response, the round of the request
 * @param epoch in a lease request, the latest epoch that the sender knows
 * @param registerEpoch in a lease request, the incarnation of the register that the epoch belongs to
 * @param electorsVersion in a lease request, the version of the sender's list of electors
 * @param yes in a lease request, {@link #wantsSlots}; in a lease response, {@link #grantsLease}
 * @param address in an address message, {@code HOST:PORT} where the sender accepts forwarded requests
 * @param report in a heartbeat report, the heartbeats that the sender has received as an elector
 */
record PartitionMessage(
        Kind kind,
        @SerializedName("run") long incarnation,
        @SerializedName("number") long round,
        long epoch,
        @SerializedName("life") long registerEpoch,
        @SerializedName("electors") long electorsVersion,
        boolean yes,
        String address,
        HeartbeatTable.Report report) {
    enum Kind {
        /** Asks an elector to grant a lease, which it does unless it knows of a later epoch than the sender. */
        @SerializedName("ASK")
        LEASE_REQUEST,
        /** An elector's response to a lease request. */
        @SerializedName("ANSWER")
        LEASE_RESPONSE,
        /** Sent between electors: the members whose heartbeats the sender has received. */
        @SerializedName("HEARD")
        HEARTBEAT_REPORT,
        /** The address where the sender accepts forwarded requests. */
        @SerializedName("HERE")
        ADDRESS
    }

    private static final Gson GSON = new Gson();

    static PartitionMessage leaseRequest(
            long incarnation,
            OrderingState.LeaseRound round,
            long registerEpoch,
            long electorsVersion,
            boolean wantsSlots) {
        return new PartitionMessage(
                Kind.LEASE_REQUEST,
                incarnation,
                round.number(),
                round.epoch(),
                registerEpoch,
                electorsVersion,
                wantsSlots,
                null,
                null);
    }

    static PartitionMessage leaseResponse(long incarnation, long round, boolean granted) {
        return new PartitionMessage(Kind.LEASE_RESPONSE, incarnation, round, 0, 0, 0, granted, null, null);
    }

    static PartitionMessage heartbeatReport(long incarnation, HeartbeatTable.Report report) {
        return new PartitionMessage(Kind.HEARTBEAT_REPORT, incarnation, 0, 0, 0, 0, false, null, report);
    }

    static PartitionMessage advertisedAddress(long incarnation, String address) {
        return new PartitionMessage(Kind.ADDRESS, incarnation, 0, 0, 0, 0, false, address, null);
    }

    /** Whether the sender of a lease request wants to own slots. */
    boolean wantsSlots() {
        return yes;
    }

    /** Whether the sender of a lease response grants the lease: it knows of no later epoch, nor of another obstacle. */
    boolean grantsLease() {
        return yes;
    }

    byte[] encode() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns empty for bytes that are no message of this version, such as a message of a later version. */
    static Optional<PartitionMessage> decode(byte[] bytes) {
        try {
            PartitionMessage message = GSON.fromJson(new String(bytes, StandardCharsets.UTF_8), PartitionMessage.class);
            return Optional.ofNullable(message).filter(PartitionMessage::isComplete);
        } catch (JsonParseException e) {
            return Optional.empty();
        }
    }

    private boolean isComplete() {
        if (kind == null) {
            return false;
        }
        return switch (kind) {
            case ADDRESS -> address != null;
            case HEARTBEAT_REPORT -> report != null && report.heartbeats() != null;
            case LEASE_REQUEST, LEASE_RESPONSE -> true;
        };
    }
}
