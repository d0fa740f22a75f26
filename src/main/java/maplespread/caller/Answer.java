package maplespread.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import maplespread.facade.Ends;
import maplespread.figures.Figures;
import maplespread.figures.Figures.Code;
import maplespread.http.HttpConnection;
import maplespread.http.HttpWriter;

/** The one final answer to a request: whoever comes first writes it, and nobody after that. */
final class Answer {
    private final HttpConnection connection;
    private final BooleanSupplier last;
    private final Figures figures;
    private final AtomicBoolean claimed = new AtomicBoolean();
    private final CountDownLatch over = new CountDownLatch(1);
    private volatile boolean closed;
    private volatile String lane; // of the job taken; null: none was
    private volatile String tried; // the worker that it went to last
    private volatile Ends ends; // null: nobody hears of it
    private volatile long number; // of the job, to whom hears of it
    private long takenAt; // nanoseconds; written before the lane

    /** {@code last}: whether the connection ends with this answer, asked when it is given. */
    Answer(HttpConnection connection, BooleanSupplier last, Figures figures) {
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
    void taken(JobRequest job, Ends who) {
        taken(job.message.lane());
        ends = who;
        number = who == null ? 0 : who.taken(job.transaction);
    }

    /** The job goes to this worker now. */
    void tried(String worker) {
        tried = worker;
    }

    private void ended(Ends.How how) {
        Ends who = ends;
        ends = null; // once, though ending the connection fails
        if (who != null) {
            who.ended(number, how, tried);
        }
    }

    void served(byte[] result) {
        give(Code.SUCCESS, HttpWriter.response(200), result);
    }

    /** A refusal: it is harmless to try again, after the pause. */
    void busy(double pauseMs) {
        HttpWriter head = HttpWriter.response(503);
        if (pauseMs > 0) {
            head.field("Retry-After", String.format(Locale.ROOT, "%.3f", pauseMs / 1000));
        }
        give(Code.BUSY, head, text("busy"));
    }

    void failed(int status, String why) {
        HttpWriter head = HttpWriter.response(status);
        if (status == 405) {
            head.field("Allow", why.contains("POST") ? "POST" : "GET");
        }
        give(Code.FAILURE, head, text(why));
    }

    /** It may have run, and may yet run. */
    void doubtful(String why) {
        give(Code.FAILURE, HttpWriter.response(502).field(Turns.REASON, "in-doubt"), text(why));
    }

    /** What another one has said, unchanged. */
    void said(Turns.Said said) {
        HttpWriter head = HttpWriter.response(said.status());
        said.fields().forEach(f -> head.field(f[0], f[1]));
        give(said.status() == 200 ? Code.SUCCESS : said.status() == 503 ? Code.BUSY : Code.FAILURE, head, said.body());
    }

    void plain(int status, String why) {
        give(Code.FAILURE, HttpWriter.response(status), text(why));
    }

    /** The client has broken the framing: fails, ends the connection. False where an answer came before. */
    boolean broken(String why) {
        return give(Code.FAILURE, HttpWriter.response(400), text(why), true);
    }

    /** Ends the matter without an answer: the client has left. */
    void drop() {
        if (claimed.compareAndSet(false, true)) {
            figures.left();
            ended(Ends.How.LEFT);
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

    private void give(Code code, HttpWriter head, byte[] body) {
        give(code, head, body, false);
    }

    private boolean give(Code code, HttpWriter head, byte[] body, boolean end) {
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
            ended(code == Code.SUCCESS ? Ends.How.SERVED : code == Code.BUSY ? Ends.How.BUSY : Ends.How.FAILED);
            if (close) {
                connection.endSending();
            }
        } catch (IOException e) {
            ended(Ends.How.LEFT);
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
