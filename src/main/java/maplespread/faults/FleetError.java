package maplespread.faults;

/** An error that an operator can do something about: what is wrong, what still works, and what to do. */
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

    /** What is wrong. */
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
