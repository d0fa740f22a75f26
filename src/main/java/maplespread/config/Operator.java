package maplespread.config;

import maplespread.registry.RegistrySettings;
import maplespread.subset.Cut;

/**
 * What the operators' own file says, read and checked by {@link OperatorReader}. {@code registry}: null where
 * the workers come from the platform's discovery; {@code subset}: null where each dispatcher uses all
 * workers; {@code fair}: whether requests beyond their tenant's share give way.
 */
public record Operator(boolean jsonLog, RegistrySettings registry, Cut.Wish subset, boolean fair) {
    /** What counts where there is no file. */
    public static final Operator NONE = new Operator(false, null, null, false);

    /** Without subsets and shares. */
    public Operator(boolean jsonLog, RegistrySettings registry) {
        this(jsonLog, registry, null, false);
    }
}
