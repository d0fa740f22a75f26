package maplespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Takes one HTTP/1.1 message in as its bytes arrive, whatever the pieces. Framing that could be read in two
 * ways is an error: what two parties read differently lets one request hide inside another.
 */
public final class HttpParser {
    /** Where the body goes, piece by piece. */
    public interface Body {
        void accept(byte[] from, int at, int length) throws HttpException;
    }

    public static final int MAX_HEAD = 16 * 1024;
    public static final int MAX_BODY = 64 * 1024;
    private static final int MAX_CHUNK_LINE = 1024;

    private enum State {
        START,
        FIELDS,
        SIZED,
        TO_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private final boolean request;
    private final long maxBody;
    private final Body body;
    private boolean errorsToo; // the bodies of all answers are handed on
    private final HttpHead head = new HttpHead();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private State state = State.START;
    private int headBytes;
    private long left; // of the body or of the chunk
    private long taken;

    private HttpParser(boolean request, long maxBody, Body body) {
        this.request = request;
        this.maxBody = maxBody;
        this.body = body;
    }

    /** A request of a client; its body is held to the protocol's limit. */
    public static HttpParser request(Body body) {
        return request(MAX_BODY, body);
    }

    /** A request whose body may be as long as stated here. */
    public static HttpParser request(long maxBody, Body body) {
        return new HttpParser(true, maxBody, body);
    }

    /**
     * An answer; {@code maxBody} bounds what a stream may bring in all. The body of any but a 200 is passed
     * over: an error's page must not be taken for a malformed stream, which would hide the refusal.
     */
    public static HttpParser response(long maxBody, Body body) {
        return new HttpParser(false, maxBody, body);
    }

    /** The same, but the body of an error is handed on too: for peers that say there what went wrong. */
    public static HttpParser responseOrError(long maxBody, Body body) {
        HttpParser parser = response(maxBody, body);
        parser.errorsToo = true;
        return parser;
    }

    public HttpHead head() {
        return head;
    }

    /** The body's stated length; above the limit where it is not stated. */
    public long bodyLength() {
        return state == State.CHUNK_SIZE ? Long.MAX_VALUE : state == State.SIZED ? left : 0;
    }

    public boolean headDone() {
        return state.ordinal() > State.FIELDS.ordinal();
    }

    public boolean done() {
        return state == State.DONE;
    }

    /** Whether the peer's closing is a proper end here. */
    public boolean endsWithClose() {
        return state == State.TO_CLOSE;
    }

    /** Takes in what the buffer holds, up to the message's end; true once the message is whole. */
    public boolean feed(ByteBuffer in) throws HttpException {
        while (state != State.DONE && in.hasRemaining()) {
            switch (state) {
                case SIZED, CHUNK, TO_CLOSE -> data(in);
                default -> {
                    if (readLine(in)) {
                        String text = line.toString(StandardCharsets.ISO_8859_1);
                        line.reset();
                        take(text);
                    }
                }
            }
        }
        return state == State.DONE;
    }

    private void data(ByteBuffer in) throws HttpException {
        int n = state == State.TO_CLOSE ? in.remaining() : (int) Math.min(left, in.remaining());
        grow(n);
        if (request || errorsToo || head.status == 200) {
            body.accept(in.array(), in.arrayOffset() + in.position(), n);
        }
        in.position(in.position() + n);
        left -= n;
        if (state != State.TO_CLOSE && left == 0) {
            state = state == State.SIZED ? State.DONE : State.CHUNK_END;
        }
    }

    private void grow(long n) throws HttpException {
        taken += n;
        if (taken > maxBody) {
            throw new HttpException(413, "body too large");
        }
    }

    /** Collects bytes up to CRLF. A bare CR or LF is refused: not all parties end a line there. */
    private boolean readLine(ByteBuffer in) throws HttpException {
        boolean inHead = state == State.START || state == State.FIELDS || state == State.TRAILERS;
        while (in.hasRemaining()) {
            int b = in.get() & 255;
            if (inHead && ++headBytes > MAX_HEAD) {
                throw new HttpException(431, "head too large");
            }
            if (!inHead && line.size() > MAX_CHUNK_LINE) {
                throw new HttpException(400, "chunk size line too long");
            }
            int size = line.size();
            boolean afterCr = size > 0 && endsWithCr;
            if (b == '\n') {
                if (!afterCr) {
                    throw new HttpException(400, "line without CR");
                }
                byte[] all = line.toByteArray();
                line.reset();
                line.write(all, 0, all.length - 1);
                endsWithCr = false;
                return true;
            }
            if (afterCr) {
                throw new HttpException(400, "bare CR in a line");
            }
            endsWithCr = b == '\r';
            if (b < 32 && b != '\r' && b != '\t' || b == 127) {
                throw new HttpException(400, "control character in a line");
            }
            line.write(b);
        }
        return false;
    }

    private boolean endsWithCr;

    private void take(String text) throws HttpException {
        switch (state) {
            case START -> {
                if (request && text.isEmpty()) {
                    return; // before a request it is passed over
                }
                if (request) {
                    requestLine(text);
                } else {
                    statusLine(text);
                }
                state = State.FIELDS;
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    framing();
                } else {
                    field(text);
                }
            }
            case CHUNK_SIZE -> chunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> { // trailers are passed over
                if (text.isEmpty()) {
                    state = State.DONE;
                }
            }
        }
    }

    private void requestLine(String text) throws HttpException {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || !parts[1].matches("[!-~]+")) {
            throw new HttpException(400, "malformed request line");
        }
        version(parts[2]);
        head.method = parts[0];
        head.target = parts[1];
    }

    private void statusLine(String text) throws HttpException {
        String[] parts = text.split(" ", 3);
        if (parts.length < 2 || !parts[1].matches("[1-5][0-9][0-9]")) {
            throw new HttpException(400, "malformed status line");
        }
        version(parts[0]);
        head.status = Integer.parseInt(parts[1]);
    }

    private void version(String text) throws HttpException {
        if (!text.equals("HTTP/1.1") && !text.equals("HTTP/1.0")) {
            throw new HttpException(400, "unknown protocol version");
        }
        head.oldVersion = text.equals("HTTP/1.0");
    }

    private void field(String text) throws HttpException {
        int colon = text.indexOf(':');
        if (colon < 1 || !isToken(text.substring(0, colon))) {
            throw new HttpException(400, "malformed header field"); // or a folded line
        }
        head.fields().add(new String[] {
            text.substring(0, colon), text.substring(colon + 1).strip()
        });
    }

    private void framing() throws HttpException {
        int lengths = head.count("Content-Length");
        int codings = head.count("Transfer-Encoding");
        if (lengths > 1 || codings > 1 || lengths + codings > 1) {
            throw new HttpException(400, "ambiguous framing");
        }
        if (request && !head.oldVersion && head.count("Host") != 1) {
            throw new HttpException(400, "exactly one Host is needed");
        }
        if (codings == 1) {
            if (head.oldVersion || !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                throw new HttpException(400, "unknown transfer coding");
            }
            state = State.CHUNK_SIZE;
        } else if (lengths == 1) {
            String text = head.get("Content-Length");
            if (!text.matches("[0-9]{1,18}")) {
                throw new HttpException(400, "malformed Content-Length");
            }
            left = Long.parseLong(text);
            if (left > maxBody) {
                throw new HttpException(413, "body too large");
            }
            state = left == 0 ? State.DONE : State.SIZED;
        } else if (request || head.status < 200 || head.status == 204 || head.status == 304) {
            state = State.DONE;
        } else {
            state = State.TO_CLOSE;
        }
    }

    private void chunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        String digits = (semicolon < 0 ? text : text.substring(0, semicolon)).strip();
        if (!digits.matches("[0-9A-Fa-f]{1,8}")) {
            throw new HttpException(400, "malformed chunk size");
        }
        left = Long.parseLong(digits, 16);
        if (left > maxBody - taken) {
            throw new HttpException(413, "body too large");
        }
        state = left == 0 ? State.TRAILERS : State.CHUNK;
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean plain = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
            if (!plain && "!#$%&'*+-.^_`|~".indexOf(c) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }
}
