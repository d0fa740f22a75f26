/**
 * Runs the policy on the simulator's wire: lines of JSON on standard input and output, one thread, the simulator's clock.
 * Owns nothing beyond one run. May import {@code policy} and {@code config}.
 */
package maplespread.simulator;
