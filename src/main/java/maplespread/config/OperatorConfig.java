package maplespread.config;

import maplespread.registry.RegistrySettings;
import maplespread.release.Limits;
import maplespread.subset.SubsetAssignment;

/**
 * What the operators' own file says, read and checked by {@link OperatorReader}. {@code registry}: null where
 * the workers come from the platform's discovery; {@code subset}: null where each dispatcher uses all
 * workers; {@code fair}: whether requests beyond their tenant's share give way; {@code group}: null where
 * dispatchers share nothing; {@code release}: who may be out at once, null where nothing is agreed on that;
 * {@code starvation}: null where it is not looked for; {@code partition}: null where jobs have no order.
 */
public record OperatorConfig(
        boolean jsonLog,
        RegistrySettings registry,
        SubsetAssignment.SubsetSettings subset,
        boolean fair,
        GroupSettings group,
        Limits release,
        StarvationSettings starvation,
        PartitionSettings partition) {
    /** What counts where there is no file. */
    public static final OperatorConfig NONE = new OperatorConfig(false, null);

    /** Without subsets and shares. */
    public OperatorConfig(boolean jsonLog, RegistrySettings registry) {
        this(jsonLog, registry, null, false);
    }

    /** Without a group. */
    public OperatorConfig(
            boolean jsonLog, RegistrySettings registry, SubsetAssignment.SubsetSettings subset, boolean fair) {
        this(jsonLog, registry, subset, fair, null, null, null, null);
    }

    /** What the two files must agree in; to be called when both have been read. */
    public void check(Config config) throws ConfigException {
        if (partition != null) {
            partition.check(config);
        }
    }
}
