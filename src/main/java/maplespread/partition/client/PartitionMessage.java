package maplespread.partition.client;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import maplespread.partition.HeartbeatTable;

/**
 * What members send each other about leases, as JSON on the cluster transport's channel. A field that a kind does
 * not use is 0, false or null. The names on the wire are older than the code's, and are kept for members of earlier
 * versions.
 *
 * @param incarnation of the sender
 * @param round the sender's round of questions, which a response repeats
 * @param epoch with a request: the latest epoch that the sender knows
 * @param registerEpoch with a request: the incarnation of the register that the epoch belongs to
 * @param electorsVersion with a request: of the list of electors that the sender goes by
 * @param yes with a request: {@link #wantsSlots}; with a response: {@link #grantsLease}
 * @param address with an address: {@code HOST:PORT} where the sender takes forwarded requests
 * @param report with a heartbeat report: what the sender knows as an elector
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
    /** What a message is. */
    enum Kind {
        /** Asks an elector whether it knows of no later epoch than the sender does. */
        @SerializedName("ASK")
        LEASE_REQUEST,
        /** An elector's response. */
        @SerializedName("ANSWER")
        LEASE_RESPONSE,
        /** From one elector to another: whom it has heard. */
        @SerializedName("HEARD")
        HEARTBEAT_REPORT,
        /** Where the sender takes forwarded requests. */
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

    /** Of a request: whether the sender wants to own slots. */
    boolean wantsSlots() {
        return yes;
    }

    /** Of a response: whether the elector knows of no later epoch, and of nothing against the lease. */
    boolean grantsLease() {
        return yes;
    }

    byte[] encode() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }

    /** Empty for what is no message of this version; a later one may send it. */
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
