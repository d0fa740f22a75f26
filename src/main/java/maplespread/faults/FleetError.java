package maplespread.faults;

/**
 * What the parts of the fleet can refuse or fail with, told so that an operator can act on it; the message
 * has all three words. docs/operators/errors.md lists all of its kinds; a test holds it to the code.
 */
public abstract class FleetError extends Exception {
    private static final long serialVersionUID = 1;
    private final String wrong;
    private final String works;
    private final String remedy;

    protected FleetError(String wrong, String works, String remedy) {
        super(wrong + "; still works: " + works + "; to do: " + remedy);
        this.wrong = wrong;
        this.works = works;
        this.remedy = remedy;
    }

    /** What is wrong, with the names it is about. */
    public String wrong() {
        return wrong;
    }

    /** What still works. */
    public String works() {
        return works;
    }

    /** What an operator can do. */
    public String remedy() {
        return remedy;
    }
}
