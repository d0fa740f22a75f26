package maplespread.partition;

/** Bounds on what waits: jobs, their work in milliseconds, and how long one has waited. */
public record Bounds(int jobs, double workMs, long ageMs) {}
