package maplespread.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Holds the thread that comes to a named point, until the story has done what is to cross it there. */
final class Gate {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch opened = new CountDownLatch(1);

    /** Called at the point; later comers pass once it is open. */
    void pass() {
        reached.countDown();
        await(opened);
    }

    /** Waits until somebody is held. */
    void reached() {
        await(reached);
    }

    void open() {
        opened.countDown();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(Loopback.LIMIT_MS, TimeUnit.MILLISECONDS), "never came");
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
