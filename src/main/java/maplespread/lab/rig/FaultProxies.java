package maplespread.lab.rig;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplespread.http.HttpConnection;
import maplespread.lab.rig.GroupLinks.Trouble;

/**
 * What lies between dispatchers where jobs are handed on. Each gives its peers the address of a relay, which
 * passes bytes both ways as the links of that pair let it: late, or, while a way is cut, not until it is open
 * again, as TCP would. Whose a connection is its first request tells.
 */
final class FaultProxies {
    private static final Pattern BY = Pattern.compile("(?i)x-handed-by: *n([0-9]+)");
    private static final long HOLD_MS = 60_000;
    private final Rig rig;
    private final String[] addresses;
    private final Set<HttpConnection> open = ConcurrentHashMap.newKeySet();

    FaultProxies(Rig rig, LoopbackListeners doors) throws IOException {
        this.rig = rig;
        addresses = new String[rig.plan.dispatchers()];
        for (int d = 0; d < addresses.length; d++) {
            int to = d;
            addresses[d] = doors.open(link -> serve(link, to));
        }
    }

    /** Where the others reach this one. */
    String address(int dispatcher) {
        return addresses[dispatcher];
    }

    /** All connections end, whatever they carry. */
    void cut() {
        open.forEach(HttpConnection::close);
    }

    private void serve(HttpConnection caller, int to) throws IOException {
        if (!caller.fill(HOLD_MS)) {
            return;
        }
        Matcher by =
                BY.matcher(StandardCharsets.ISO_8859_1.decode(caller.buffer().duplicate()));
        int from = by.find() ? Integer.parseInt(by.group(1)) : to;
        try (HttpConnection callee = HttpConnection.dial(rig.dispatchers.get(to).address(), HOLD_MS)) {
            open.add(caller);
            LoopbackListeners.daemon("relay", () -> pass(callee, caller, to, from));
            pass(caller, callee, from, to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(caller);
        }
    }

    /** Passes one way on until it ends, and both with it. */
    private void pass(HttpConnection in, HttpConnection out, int from, int to)
            throws IOException, InterruptedException {
        SplittableRandom late = new SplittableRandom(from * 1009L + to);
        try (in;
                out) {
            while (in.fill(HOLD_MS)) {
                ByteBuffer came = in.buffer();
                byte[] bytes = new byte[came.remaining()];
                came.get(bytes);
                Trouble t = rig.links.get(from, to);
                TimeUnit.MILLISECONDS.sleep(t.lateMs() + (t.spreadMs() > 0 ? late.nextLong(t.spreadMs()) : 0));
                while (rig.links.get(from, to).cut()) {
                    TimeUnit.MILLISECONDS.sleep(5);
                }
                out.send(bytes);
            }
        }
    }
}
