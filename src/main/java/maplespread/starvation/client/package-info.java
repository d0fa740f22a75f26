/**
 * The waits of this process from its legs to verdicts: the clock, the lock, the wire and the log around
 * {@code maplespread.starvation}. Entered by {@code parts} alone; legs know it as {@code facade.Ends}.
 */
package maplespread.starvation.client;
