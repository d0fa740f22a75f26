package maplespread.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import maplespread.facade.RequestListener;
import maplespread.http.HttpConnection;
import maplespread.http.HttpWriter;
import maplespread.metrics.Metrics;
import maplespread.metrics.Metrics.ResponseCode;

/** The one final answer to a request: whoever comes first writes it, and nobody after that. */
final class ClientResponse {
    private final HttpConnection connection;
    private final BooleanSupplier last;
    private final Metrics figures;
    private final AtomicBoolean claimed = new AtomicBoolean();
    private final CountDownLatch over = new CountDownLatch(1);
    private volatile boolean closed;
    private volatile String lane; // of the job taken; null: none was
    private volatile String tried; // the worker that it went to last
    private volatile RequestListener ends; // null: nobody hears of it
    private volatile long number; // of the job, to whom hears of it
    private long takenAt; // nanoseconds; written before the lane

    /** {@code last}: whether the connection ends with this answer, asked when it is given. */
    ClientResponse(HttpConnection connection, BooleanSupplier last, Metrics figures) {
        this.connection = connection;
        this.last = last;
        this.figures = figures;
    }

    /** A job of this class has been taken: its end is counted, once, by whoever gives the answer. */
    void taken(String lane) {
        takenAt = System.nanoTime();
        this.lane = lane;
        figures.taken();
    }

    /** The same, and whoever wants to hear of it does; null: nobody. */
    void taken(ClientRequest job, RequestListener who) {
        taken(job.message.lane());
        ends = who;
        number = who == null ? 0 : who.requestAccepted(job.transaction);
    }

    /** The job goes to this worker now. */
    void tried(String worker) {
        tried = worker;
    }

    private void ended(RequestListener.Result how) {
        RequestListener who = ends;
        ends = null; // once, though ending the connection fails
        if (who != null) {
            who.requestCompleted(number, how, tried);
        }
    }

    void served(byte[] result) {
        give(ResponseCode.SUCCESS, HttpWriter.response(200), result);
    }

    /** A refusal: it is harmless to try again, after the pause. */
    void busy(double pauseMs) {
        HttpWriter head = HttpWriter.response(503);
        if (pauseMs > 0) {
            head.field("Retry-After", String.format(Locale.ROOT, "%.3f", pauseMs / 1000));
        }
        give(ResponseCode.BUSY, head, text("busy"));
    }

    void failed(int status, String why) {
        HttpWriter head = HttpWriter.response(status);
        if (status == 405) {
            head.field("Allow", why.contains("POST") ? "POST" : "GET");
        }
        give(ResponseCode.FAILURE, head, text(why));
    }

    /** It may have run, and may yet run. */
    void doubtful(String why) {
        give(
                ResponseCode.FAILURE,
                HttpWriter.response(502).field(RequestSequencer.ORDER_REASON_HEADER, "in-doubt"),
                text(why));
    }

    /** What another one has said, unchanged. */
    void said(RequestSequencer.FinalResponse said) {
        HttpWriter head = HttpWriter.response(said.status());
        said.fields().forEach(f -> head.field(f[0], f[1]));
        give(
                said.status() == 200
                        ? ResponseCode.SUCCESS
                        : said.status() == 503 ? ResponseCode.BUSY : ResponseCode.FAILURE,
                head,
                said.body());
    }

    void plain(int status, String why) {
        give(ResponseCode.FAILURE, HttpWriter.response(status), text(why));
    }

    /** The client has broken the framing: fails, ends the connection. False where an answer came before. */
    boolean broken(String why) {
        return give(ResponseCode.FAILURE, HttpWriter.response(400), text(why), true);
    }

    /** Ends the matter without an answer: the client has left. */
    void drop() {
        if (claimed.compareAndSet(false, true)) {
            figures.left();
            ended(RequestListener.Result.CLIENT_LEFT);
            over();
        }
    }

    /** Whether it has been written, or dropped. */
    boolean given() {
        return over.getCount() == 0;
    }

    /** Whether the connection has ended with it. */
    boolean closed() {
        return closed;
    }

    void awaitGiven() throws InterruptedException {
        over.await();
    }

    private void give(ResponseCode code, HttpWriter head, byte[] body) {
        give(code, head, body, false);
    }

    private boolean give(ResponseCode code, HttpWriter head, byte[] body, boolean end) {
        if (!claimed.compareAndSet(false, true)) {
            return false;
        }
        boolean close = end || last.getAsBoolean();
        closed = close;
        try {
            connection.send((close ? head.field("Connection", "close") : head).body(body));
            if (lane != null) {
                figures.answered(lane, code, System.nanoTime() - takenAt);
            }
            ended(
                    code == ResponseCode.SUCCESS
                            ? RequestListener.Result.SERVED
                            : code == ResponseCode.BUSY
                                    ? RequestListener.Result.REJECTED
                                    : RequestListener.Result.FAILED);
            if (close) {
                connection.endSending();
            }
        } catch (IOException e) {
            ended(RequestListener.Result.CLIENT_LEFT);
            connection.close(); // the client has gone
        } finally {
            over();
        }
        return true;
    }

    private void over() {
        if (lane != null) {
            figures.over();
        }
        over.countDown();
    }

    private static byte[] text(String why) {
        return (why + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
