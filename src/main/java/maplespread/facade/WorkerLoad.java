package maplespread.facade;

import java.util.Map;

/** A worker's load report: its figures by the names that the settings give them. */
public record WorkerLoad(Map<String, Double> figures) {
    /** NaN where the report lacks the figure. */
    double figure(String name) {
        return figures.getOrDefault(name, Double.NaN);
    }
}
