/**
 * Tells which tenant is starved, where and why, by comparing waits, and by how much its requests weigh more. Owns
 * the waits of one process in windows, their form on the wire, the fleet's merged window, the comparison, the
 * verdicts and the boosts. Does no input or output and has no clock, threads or randomness: times are passed in,
 * and the caller guards each object. May import {@code maplespread.errors}, Gson's annotations, HdrHistogram and
 * commons-math, {@code ReproducibleMath} of {@code policy}, and no other package of the program.
 */
package maplespread.starvation;
