package maplespread.partition.client;

import maplespread.log.Event;

/** Threads that do one round after the other until they are interrupted; a round that fails ends none of them. */
final class PartitionThreads {
    private static final long STACK_BYTES = 256 * 1024;
    private static final long PAUSE_AFTER_FAULT_MS = 100;

    private PartitionThreads() {}

    /** One round of work; returns the pause until the next in milliseconds. */
    interface Round {
        long run() throws InterruptedException;
    }

    /** Not started yet. */
    static Thread daemon(String name, Round round) {
        Thread thread = new Thread(null, () -> loop(round), name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    private static void loop(Round round) {
        try {
            while (true) {
                long pauseMs = PAUSE_AFTER_FAULT_MS;
                try {
                    pauseMs = round.run();
                } catch (RuntimeException | Error e) { // the next round must still come
                    Event.of("partition.fault", "why", e).error();
                }
                Thread.sleep(pauseMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
