package maplespread.config;

import java.util.ArrayList;
import java.util.List;
import maplespread.partition.Partition.Worker;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableException;
import maplespread.partition.RoutingTableParser;

/**
 * Order over the whole fleet. {@code table}: as JSON, proposed while none is agreed on; {@code address}:
 * where others reach this one's listener for jobs, empty: as it is bound; {@code leaseMs}: length
 * of a lease; {@code askMs}: interval at which it is renewed; {@code silentMs}, {@code goneMs}: not
 * heard for so long, a member gets no lease, and its slots go to others; {@code drift}: share by which
 * clocks may be off; {@code slots}: of keys, when the value is first written.
 */
public record PartitionSettings(
        String table, String address, long leaseMs, long askMs, long silentMs, long goneMs, double drift, int slots) {
    /** The file's table, where it goes with the names of the site. */
    RoutingTable check(Config config) throws ConfigException {
        try {
            return read(table, config, List.of());
        } catch (RoutingTableException e) {
            throw new ConfigException("partition.table", e.getMessage());
        }
    }

    /** The keys in which another one differs that a running program cannot take up. */
    public List<String> needingRestart(PartitionSettings o) {
        List<String> keys = new ArrayList<>();
        Object[] here = {address, leaseMs, askMs, silentMs, goneMs, drift, slots};
        Object[] there = {o.address, o.leaseMs, o.askMs, o.silentMs, o.goneMs, o.drift, o.slots};
        String[] names = {"address", "lease_ms", "ask_ms", "silent_ms", "gone_ms", "drift", "slots"};
        for (int i = 0; i < names.length; i++) {
            if (!here[i].equals(there[i])) {
                keys.add("partition." + names[i]);
            }
        }
        return keys;
    }

    /** A table's text by the site's names; {@code workers} empty: not checked against any. */
    public static RoutingTable read(String text, Config config, List<Worker> workers) throws RoutingTableException {
        Config.Names n = config.names();
        return RoutingTableParser.parse(
                text, new RoutingTableParser.SiteNames(n.classes(), n.tenants(), n.zones(), n.kinds(), workers));
    }
}
