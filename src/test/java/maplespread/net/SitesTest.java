package maplespread.net;

import static maplespread.net.Loopback.job;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import maplespread.net.Loopback.Call;
import maplespread.net.Loopback.Client;
import maplespread.net.Loopback.Peer;
import maplespread.net.Loopback.Site;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;
import org.junit.runners.Parameterized.Parameter;
import org.junit.runners.Parameterized.Parameters;

/**
 * The regression stories on both deployments in turn: what worked on one by luck must hold on the other.
 * Guards against rules that hold only because a site has no class of some kind (the dropped key was one).
 */
@RunWith(Parameterized.class)
public class SitesTest {
    @Parameters(name = "{0}")
    public static Object[] sites() {
        return Site.values();
    }

    @Parameter
    public Site site;

    private static final Loopback.Script DONE = call -> {
        call.open();
        call.done("ok " + call.id());
    };

    /** Started, then the answer ends before its last line: a reset, so the job may have run. */
    private static final Loopback.Script BREAKS = call -> {
        call.open();
        call.state("started", "");
        call.raw("0\r\n\r\n");
    };

    @Test
    public void everyClassIsServedAsItsClientSentIt() throws Exception {
        try (Peer worker = new Peer(DONE);
                Loopback here = new Loopback(site, worker);
                Client client = here.new Client()) {
            for (String[] lane : site.lanes) {
                String id = "s-" + lane[0];
                Call answer = client.send(Loopback.withKey(job(lane[0], id, 4000), "key-" + lane[0]))
                        .answer();
                assertEquals(lane[0], 200, answer.head.status());
                assertEquals("ok " + id, answer.body);
                Call seen = jobs(worker, lane[0]).get(0);
                assertEquals(
                        "POST /" + lane[0] + "/x?y=1 body",
                        seen.head.method() + ' ' + seen.head.target() + ' ' + seen.body);
                assertEquals(id, seen.id());
                assertEquals("key-" + lane[0], seen.head.get("Idempotency-Key"));
            }
        }
    }

    /** Rows: the key a job brings (null: none) and the answer; without a key, a class without keys serves. */
    @Test
    public void aKeyIsCheckedBeforeAnyWorkerSeesIt() throws Exception {
        String[][] rows = {{null, "400"}, {"two words", "400"}, {"x".repeat(256), "400"}, {"k-1", "200"}};
        try (Peer worker = new Peer(DONE);
                Loopback here = new Loopback(site, worker);
                Client client = here.new Client()) {
            int n = 0;
            for (String[] lane : site.lanes) {
                boolean keyed = lane[1].equals("idempotency_key");
                for (String[] row : rows) {
                    String job = job(lane[0], "c" + n++, 4000);
                    Call answer = client.send(row[0] == null ? job : Loopback.withKey(job, row[0]))
                            .answerOrError();
                    int wanted = row[0] == null && !keyed ? 200 : Integer.parseInt(row[1]);
                    assertEquals(lane[0] + " with " + row[0], wanted, answer.head.status());
                    assertEquals(
                            "seen by a worker: " + row[0],
                            wanted == 200,
                            !jobs(worker, lane[0]).isEmpty());
                    assertTrue(answer.body, wanted == 200 || answer.body.contains("Idempotency-Key"));
                }
            }
        }
    }

    /**
     * Rule 2 over sockets: a job that may have run goes out again only where its class says a repeat is
     * dropped (the same zone within the window, for a keyed class), never for a class that must not run
     * twice, and never beyond the attempts allowed.
     */
    @Test
    public void whatMayHaveRunGoesAgainOnlyWhereItsClassAllows() throws Exception {
        Peer near = new Peer(BREAKS);
        Peer nearToo = new Peer(BREAKS);
        Peer far = new Peer(BREAKS);
        far.zone = "b";
        try (near;
                nearToo;
                far;
                Loopback here = new Loopback(site, near, nearToo, far);
                Client client = here.new Client()) {
            for (String[] lane : site.lanes) {
                int status = client.send(Loopback.withKey(job(lane[0], "m-" + lane[0], 4000), "k"))
                        .answerOrError()
                        .head
                        .status();
                assertNotEquals(lane[0] + " was served by a worker that broke", 200, status);
                Set<String> zones = new HashSet<>();
                int calls = 0;
                for (Peer w : List.of(near, nearToo, far)) {
                    int n = jobs(w, lane[0]).size();
                    calls += n;
                    if (n > 0) {
                        zones.add(w.zone);
                    }
                }
                assertTrue(lane[0] + ": " + calls + " attempts", calls >= 1 && calls <= site.tryLimit);
                boolean keyed = lane[1].equals("idempotency_key");
                if (lane[1].equals("non_idempotent") || keyed && site.windowMs == 0) {
                    assertEquals(lane[0] + " ran twice", 1, calls);
                } else if (keyed && lane[2].equals("zone")) {
                    assertEquals(lane[0] + " went again where its repeat is not dropped: " + zones, 1, zones.size());
                }
            }
        }
    }

    /** The calls of one class that a worker has had so far; probes are not counted. */
    private static List<Call> jobs(Peer worker, String lane) {
        List<Call> all = new ArrayList<>();
        worker.calls.drainTo(all);
        all.removeIf(c -> !c.head.target().startsWith("/" + lane + "/"));
        return all;
    }
}
