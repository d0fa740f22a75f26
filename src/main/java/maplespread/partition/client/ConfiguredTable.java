package maplespread.partition.client;

import com.google.gson.JsonParser;

/**
 * The routing table of the operators' file, and whether it is still to become the fleet's. Reloaded on the thread
 * that reads the file, and offered by the coordinator's.
 */
final class ConfiguredTable {
    private volatile String compressed;
    private volatile boolean proposalPending;

    ConfiguredTable(String json) {
        compressed = compress(json);
    }

    /** The file was read anew. A table that differs from the one before is to become the fleet's. */
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

    /** Compressed without the blanks between its parts, so that tables are compared by what they say. */
    static String compress(String json) {
        return CompressedTable.compress(JsonParser.parseString(json).toString());
    }
}
