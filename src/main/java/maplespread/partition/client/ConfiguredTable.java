package maplespread.partition.client;

import com.google.gson.JsonParser;

/**
 * The routing table in the operators' file, and whether the table is still to be proposed to the group. Reloaded on the
 * thread that reads the file, and proposed on the coordinator's thread.
 */
final class ConfiguredTable {
    private volatile String compressed;
    private volatile boolean proposalPending;

    ConfiguredTable(String json) {
        compressed = compress(json);
    }

    /** Takes the table from the reread file; one that differs from the last is to be proposed. */
    void reload(String json) {
        String next = compress(json);
        if (!next.equals(compressed)) {
            compressed = next;
            proposalPending = true;
        }
    }

    String compressed() {
        return compressed;
    }

    boolean isProposalPending() {
        return proposalPending;
    }

    void setProposalPending(boolean pending) {
        proposalPending = pending;
    }

    /** Compresses the table without insignificant white space, so that tables that differ in layout only are equal. */
    static String compress(String json) {
        return CompressedTable.compress(JsonParser.parseString(json).toString());
    }
}
