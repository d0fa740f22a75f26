package maplespread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

public class StartTest {
    /** Guards against the end of the process, which is what the JVM does on SIGHUP when nobody hears it. */
    @Test
    public void aHangupIsHeardAndEndsNothing() throws Exception {
        CountDownLatch heard = new CountDownLatch(1);
        Start.onHangup(heard::countDown);
        String self = Long.toString(ProcessHandle.current().pid());
        assertEquals(0, new ProcessBuilder("kill", "-HUP", self).start().waitFor());
        assertTrue(heard.await(10, TimeUnit.SECONDS));
    }
}
