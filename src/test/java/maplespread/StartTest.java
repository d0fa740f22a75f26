package maplespread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

public class StartTest {
    /** Without a handler the JVM exits on SIGHUP. */
    @Test
    public void sighupIsHandledAndDoesNotEndTheProcess() throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        Start.onHangup(handled::countDown);
        String processId = Long.toString(ProcessHandle.current().pid());
        assertEquals(0, new ProcessBuilder("kill", "-HUP", processId).start().waitFor());
        assertTrue(handled.await(10, TimeUnit.SECONDS));
    }
}
