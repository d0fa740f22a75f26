package maplespread.faults;

/** What the parts of the fleet that act as one can refuse or fail with, in an operator's words. */
public abstract class FleetError extends Exception {
    private final String wrong;
    private final String works;
    private final String remedy;

    protected FleetError(String wrong, String works, String remedy) {
        super(wrong + "; still works: " + works + "; to do: " + remedy);
        this.wrong = wrong;
        this.works = works;
        this.remedy = remedy;
    }

    /** What is wrong. */
    public String wrong() {
        return wrong;
    }

    /** What still works meanwhile. */
    public String works() {
        return works;
    }

    /** What an operator can do. */
    public String remedy() {
        return remedy;
    }
}
