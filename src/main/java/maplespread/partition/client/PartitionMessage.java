package maplespread.partition.client;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import maplespread.partition.HeartbeatTable;

/**
 * What members tell each other of order, on the group's channel. ASK: whether an elector knows a later {@code
 * epoch} than this, in the register's life {@code life} and with its electors of number {@code electors};
 * {@code yes}: the asker wants slots. ANSWER: {@code yes}, it knows none. HEARD: an elector's report. HERE:
 * where jobs are taken. {@code run}: of the sender.
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
        @SerializedName("ASK")
        LEASE_REQUEST,
        @SerializedName("ANSWER")
        LEASE_RESPONSE,
        @SerializedName("HEARD")
        HEARTBEAT_REPORT,
        @SerializedName("HERE")
        ADDRESS
    }

    private static final Gson GSON = new Gson();

    static PartitionMessage leaseRequest(
            long run, OrderedDispatch.LeaseQuestion q, long life, long electors, boolean wants) {
        return new PartitionMessage(Kind.LEASE_REQUEST, run, q.number(), q.epoch(), life, electors, wants, null, null);
    }

    static PartitionMessage leaseResponse(long run, long number, boolean yes) {
        return new PartitionMessage(Kind.LEASE_RESPONSE, run, number, 0, 0, 0, yes, null, null);
    }

    static PartitionMessage heartbeatReport(long run, HeartbeatTable.Report report) {
        return new PartitionMessage(Kind.HEARTBEAT_REPORT, run, 0, 0, 0, 0, false, null, report);
    }

    static PartitionMessage advertisedAddress(long run, String address) {
        return new PartitionMessage(Kind.ADDRESS, run, 0, 0, 0, 0, false, address, null);
    }

    byte[] encode() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }

    /** Null for what is no note, as another version may send. */
    static PartitionMessage decode(byte[] bytes) {
        try {
            PartitionMessage n = GSON.fromJson(new String(bytes, StandardCharsets.UTF_8), PartitionMessage.class);
            boolean whole = n != null
                    && n.kind != null
                    && (n.kind != Kind.ADDRESS || n.address != null)
                    && (n.kind != Kind.HEARTBEAT_REPORT || n.report != null && n.report.heartbeats() != null);
            return whole ? n : null;
        } catch (JsonParseException e) {
            return null;
        }
    }
}
