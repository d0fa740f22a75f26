package maplespread.starvation;

import maplespread.starvation.LogRankComparison.Sum;

/** One tenant's requests of a class in a place, zone, kind or everywhere, compared with the others' there. */
final class TenantComparison {
    /** Requests of a tenant below which nothing is said. */
    static final int MIN_REQUESTS = 5;

    /** Requests of the others below which nothing is said. */
    static final int MIN_OTHERS = 20;

    final Subject subject;
    /** Of all of its requests. */
    final Sum all = new Sum();
    /** Of what is left without its worst requests, as many as are beyond its share. */
    final Sum withinShare = new Sum();
    /** How likely it is by chance, before the correction for many comparisons. */
    double pValue = 1;
    /** Whether it cannot be chance, all comparisons of the round taken together. */
    boolean significant;

    TenantComparison(Subject subject) {
        this.subject = subject;
    }

    /** Adds a comparison of a part of the subject. */
    void add(TenantComparison part) {
        all.add(part.all, 1);
        withinShare.add(part.withinShare, 1);
    }

    /** Whether enough requests are compared for anything to be said. */
    boolean isLargeEnough() {
        return all.total >= MIN_REQUESTS && all.others >= MIN_OTHERS;
    }
}
