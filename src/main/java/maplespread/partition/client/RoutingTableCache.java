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

/** Caches routing tables by their compressed texts, so that each is parsed once. Thread-safe. */
final class RoutingTableCache {
    private final Supplier<Config> config;
    private final Map<String, RoutingTable> tables = new ConcurrentHashMap<>();

    /** {@code config} supplies the configuration whose names a table may use at the time when it is parsed. */
    RoutingTableCache(Supplier<Config> config) {
        this.config = config;
    }

    /** Throws if the table uses names that this site's configuration does not define. */
    RoutingTable get(String compressed) throws RoutingTableException {
        RoutingTable known = tables.get(compressed);
        if (known == null) {
            known = PartitionSettings.read(CompressedTable.decompress(compressed), config.get(), List.of());
            tables.put(compressed, known);
        }
        return known;
    }

    /** Drops all tables but these. */
    void retain(Collection<String> compressed) {
        tables.keySet().retainAll(compressed);
    }
}
