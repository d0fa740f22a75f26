/**
 * The waits of this process from its requests to verdicts: the clock, the lock, the other dispatchers' windows
 * and the log around {@code maplespread.starvation}. Owns what stands for the admin answer. Requests report on
 * their own threads, a round runs on its caller's. Entered by {@code maplespread.feature} alone; those that serve
 * clients know it as {@code facade.RequestListener}.
 */
package maplespread.starvation.client;
