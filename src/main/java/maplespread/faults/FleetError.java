package maplespread.faults;

/**
 * Something that could not be done, told so that an operator can act on it. docs/operators/errors.md lists all
 * of its kinds, and a test holds that list to the code.
 */
public abstract class FleetError extends Exception {
    private static final long serialVersionUID = 1;
    private final String works;
    private final String remedy;

    /**
     * {@code wrong}: what is wrong, with the names it is about; {@code works}: what goes on all the same;
     * {@code remedy}: what an operator can do.
     */
    protected FleetError(String wrong, String works, String remedy) {
        super(wrong);
        this.works = works;
        this.remedy = remedy;
    }

    /** What is wrong. */
    public String wrong() {
        return getMessage();
    }

    /** What still works. */
    public String works() {
        return works;
    }

    /** What an operator can do. */
    public String remedy() {
        return remedy;
    }

    /** All three in one line, for a console's answer. */
    public String told() {
        return wrong() + ". Still works: " + works + ". To do: " + remedy + '.';
    }
}
