package maplespread.errors;

/**
 * What the parts of the fleet can refuse or fail with, told so that an operator can act on it; the message
 * has all three words. docs/operators/errors.md lists all of its kinds; a test holds it to the code.
 */
public abstract class FleetException extends Exception {
    private static final long serialVersionUID = 1;
    private final String problem;
    private final String unaffected;
    private final String remedy;

    protected FleetException(String wrong, String works, String remedy) {
        super(wrong + "; still works: " + works + "; to do: " + remedy);
        this.problem = wrong;
        this.unaffected = works;
        this.remedy = remedy;
    }

    /** What is wrong, with the names it is about. */
    public String problem() {
        return problem;
    }

    /** What still works. */
    public String unaffected() {
        return unaffected;
    }

    /** What an operator can do. */
    public String remedy() {
        return remedy;
    }
}
