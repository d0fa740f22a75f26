package maplespread.errors;

/**
 * What a part of the fleet has rejected or could not do, told so that an operator can act on it: what is wrong, what
 * still works, and what to do. The message has all three. docs/operators/errors.md lists every kind; a test holds that
 * page to the code.
 */
public abstract class FleetException extends Exception {
    private static final long serialVersionUID = 1;

    private final String problem;
    private final String unaffected;
    private final String remedy;

    /** Joins the three to the message. */
    protected FleetException(String problem, String unaffected, String remedy) {
        super(problem + "; still works: " + unaffected + "; to do: " + remedy);
        this.problem = problem;
        this.unaffected = unaffected;
        this.remedy = remedy;
    }

    /** What is wrong, with the names that it is about. */
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
