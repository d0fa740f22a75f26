package maplespread.facade;

import java.util.Map;

/** A worker's load report: its figures by the names given in the settings. */
public record WorkerLoad(Map<String, Double> figures) {
    /** The figure, or NaN if the report lacks it. */
    double figure(String name) {
        return figures.getOrDefault(name, Double.NaN);
    }
}
