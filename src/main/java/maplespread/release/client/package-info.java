/**
 * Releases in a running dispatcher: what it sees of the fleet, the thread that drives this instance's part,
 * the orders carried out, the console's calls. Decides nothing that the fleet has to agree on: that is {@code
 * maplespread.release}'s, by the register. May call {@code release}, {@code agreement.client}, {@code group},
 * {@code membership}, {@code registry.client}, {@code console} and the log; {@code parts} puts it together.
 */
package maplespread.release.client;
