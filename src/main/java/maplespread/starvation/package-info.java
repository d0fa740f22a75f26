/**
 * Which tenant is starved, where and why, told by comparing waits. Owns the waits of one process in windows,
 * their form on the wire, the merged view, the comparison and the verdicts. Pure: no sockets, clock, threads
 * or randomness; time is passed in. Calls no other package of the program; of libraries HdrHistogram and
 * commons-statistics.
 */
package maplespread.starvation;
