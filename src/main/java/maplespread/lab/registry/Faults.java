package maplespread.lab.registry;

import java.util.SplittableRandom;

/** What goes wrong at one member, by chance and seed. All off at first. */
public final class Faults {
    private final SplittableRandom random;
    /** A line of a watch, or an answer, is cut in its middle and the connection closed. */
    public volatile double cut;
    /** A watch, or an answer, stops in silence while its connection stays open. */
    public volatile double stall;
    /** Before an answer or a watch begins, the store compacts all but its present revision. */
    public volatile double compactFirst;
    /** So many answers are 503. */
    public volatile int errors;
    /** Answers 200 with a page that is not JSON. */
    public volatile boolean wrongType;
    /** Accepts and never answers. */
    public volatile boolean silent;
    /**
     * By place in the stream (a bit each, from 1): watches that are on and say nothing. For Consul any of
     * them: a question that waits never returns.
     */
    public volatile int muted;
    /** Lines of watches come byte by byte, and never whole. */
    public volatile boolean trickle;
    /** Milliseconds between the halves of what is written. */
    public volatile int slowMs;
    /** By how many revisions the member lies behind the store; a real etcd would wait before such a range. */
    public volatile long lag;
    /** Consul: no leader is known. */
    public volatile boolean leaderless;
    /** Consul: taken from every index that is told. */
    public volatile long indexOff;
    /** The token that is asked for; empty: none. */
    public volatile String token = "";

    public Faults(long seed) {
        random = new SplittableRandom(seed);
    }

    synchronized boolean happens(double chance) {
        return chance > 0 && random.nextDouble() < chance;
    }

    synchronized boolean error() {
        if (errors > 0) {
            errors--;
            return true;
        }
        return false;
    }
}
