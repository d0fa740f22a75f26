package maplespread.partition.client;

import maplespread.log.Event;

/** Daemon threads that run round after round until they are interrupted. A failed round does not end its thread. */
final class PartitionThreads {
    private static final long STACK_BYTES = 256 * 1024;
    /** Delay before the next round after one that failed. */
    private static final long FAILURE_BACKOFF_MS = 100;

    private PartitionThreads() {}

    /** One round of work, which returns the delay before the next round in milliseconds. */
    interface Round {
        long run() throws InterruptedException;
    }

    /** Creates a thread that is not started yet. */
    static Thread daemon(String name, Round round) {
        Thread thread = new Thread(null, () -> loop(round), name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    private static void loop(Round round) {
        try {
            while (true) {
                long delayMs = FAILURE_BACKOFF_MS;
                try {
                    delayMs = round.run();
                } catch (RuntimeException | Error e) { // a failed round must not prevent the next one
                    Event.of("partition.fault", "why", e).error();
                }
                Thread.sleep(delayMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
