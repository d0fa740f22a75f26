package maplespread.partition.client;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.config.PartitionSettings;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableException;

/** Routing tables by their compressed texts, so that each is compiled once. Thread-safe. */
final class RoutingTableCache {
    private final Supplier<Config> config;
    private final Map<String, RoutingTable> tables = new ConcurrentHashMap<>();

    /** {@code config}: whose names a table may use, at the time when it is compiled. */
    RoutingTableCache(Supplier<Config> config) {
        this.config = config;
    }

    /** Throws where the table uses names that this site does not have. */
    RoutingTable get(String compressed) throws RoutingTableException {
        RoutingTable known = tables.get(compressed);
        if (known == null) {
            known = PartitionSettings.read(CompressedTable.decompress(compressed), config.get(), List.of());
            tables.put(compressed, known);
        }
        return known;
    }

    /** Forgets all others. */
    void retain(Collection<String> compressed) {
        tables.keySet().retainAll(compressed);
    }
}
