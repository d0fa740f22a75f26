/**
 * The worker side: pooled connections, attempts, probes, and requests forwarded to other dispatchers. Owns the
 * connection pool. Blocks the calling thread and never retries by itself. May import {@code facade}, {@code http},
 * {@code config}, {@code discovery}'s parser of addresses, {@code metrics} and {@code log}.
 */
package maplespread.worker;
