package maplespread.faults;

/** Something that a part of the fleet could not do. Says what is wrong, what still works, and what helps. */
public abstract class FleetError extends Exception {
    private static final long serialVersionUID = 1;
    private final String wrong, works, remedy;

    protected FleetError(String wrong, String works, String remedy) {
        super(wrong + "; " + works + "; " + remedy);
        this.wrong = wrong;
        this.works = works;
        this.remedy = remedy;
    }

    /** What is wrong. */
    public final String wrong() {
        return wrong;
    }

    /** What still works meanwhile. */
    public final String works() {
        return works;
    }

    /** What an operator can do. */
    public final String remedy() {
        return remedy;
    }
}
