package maplespread.starvation;

/**
 * Whom a verdict is of: a tenant, a request class and a place, each by its number. {@link Verdict#ALL} stands
 * for all of them; a place below that is a whole zone or machine kind, see {@link FleetLayout}.
 */
record Subject(int tenant, int requestClass, int place) {
    /** All tenants, classes and places. */
    static final Subject EVERYTHING = new Subject(Verdict.ALL, Verdict.ALL, Verdict.ALL);

    /** The same tenant and class in all places. */
    Subject everywhere() {
        return new Subject(tenant, requestClass, Verdict.ALL);
    }

    /** Whether the place is a single one, and no zone, kind or all. */
    boolean isSinglePlace() {
        return place >= 0;
    }
}
