package maplespread.lab.scale;

/**
 * The fleet that the operators plan for and the limits on the control traffic of one dispatcher in it.
 *
 * @param workers on the list
 * @param zones of all regions together
 * @param tenants with a quota each
 * @param startsPerS jobs started a second over all dispatchers at the peak
 * @param running jobs in work over all dispatchers
 */
public record FleetPlan(int workers, int zones, int tenants, double startsPerS, int running) {
    /** Most control bytes a second of one dispatcher, both directions together, headers included. */
    public static final double BYTES_PER_S = 3_000;
    /** Most of a core that one dispatcher's control may take, in percent. */
    public static final double CORE_PERCENT = 3.1;
    /** Resident memory of a dispatcher's process, in MB. */
    public static final double MEMORY_MB = 256;
    /** By when a change is in force everywhere that can be reached, in ms. */
    public static final double IN_FORCE_MS = 7_000;

    /** Two years from now. */
    public static final FleetPlan TWO_YEARS = new FleetPlan(620, 6, 45, 190, 2_600);

    /** How long a job runs by Little's law, in ms. */
    public double runsMs() {
        return 1000 * running / startsPerS;
    }
}
