package maplespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Parses one HTTP/1.1 message incrementally, however its bytes are split. Ambiguous framing is an error: if two parties
 * parse a message differently, one request can be smuggled inside another.
 */
public final class HttpParser {
    /** Receives the body in pieces. */
    public interface Body {
        void accept(byte[] from, int at, int length) throws HttpException;
    }

    public static final int MAX_HEAD_BYTES = 16 * 1024;
    public static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_LINE_BYTES = 1024;
    /** Maximum length of all lines between the chunks of a request: what they cost would exceed the body by far. */
    private static final int MAX_CHUNK_LINES_BYTES = 64 * 1024;

    private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9A-Fa-f]{1,8}");

    private enum State {
        START,
        FIELDS,
        FIXED_LENGTH,
        UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    /** Fields that the parser itself, or the connection's handling, needs. */
    private static final Set<String> FRAMING_FIELDS =
            Set.of("host", "content-length", "transfer-encoding", "connection", "expect");

    /** Maximum number of lines kept of one field: a head of very many short lines would cost many times its bytes. */
    private static final int MAX_LINES_OF_FIELD = 8;

    /** Memory that a kept field takes beside its characters: two strings and an array. */
    private static final int FIELD_MEMORY_BYTES = 128;

    private final boolean request;
    /** The names of the fields kept, in lower case; empty: all are kept. */
    private final Set<String> keptFields;

    private final long maxBodyBytes;
    private final Body body;
    /** Whether the bodies of responses other than 200 are delivered too. */
    private boolean deliversErrorBodies;

    private final HttpHead head = new HttpHead();
    private ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private State state = State.START;
    private int headBytes;
    private int chunkLinesBytes;
    private long keptMemoryBytes;
    /** Bytes still to come of the body, or of the chunk. */
    private long remainingBytes;
    /** Bytes of the body so far. */
    private long bodyBytes;

    private HttpParser(boolean request, Set<String> keptFields, long maxBodyBytes, Body body) {
        this.request = request;
        this.keptFields = keptFields;
        this.maxBodyBytes = maxBodyBytes;
        this.body = body;
    }

    /** Creates a parser for a request whose body is bounded by the protocol's limit. */
    public static HttpParser request(Body body) {
        return request(MAX_BODY_BYTES, body);
    }

    /** Creates a parser for a request whose body is bounded by {@code maxBodyBytes} bytes. */
    public static HttpParser request(long maxBodyBytes, Body body) {
        return new HttpParser(true, Set.of(), maxBodyBytes, body);
    }

    /**
     * Creates a parser for a request whose body is bounded by the protocol's limit. All fields are checked, and those
     * that the caller does not name are not kept.
     *
     * @param fieldNames the names of the fields to keep, in lower case, besides those of the message's framing
     */
    public static HttpParser request(Set<String> fieldNames, Body body) {
        return new HttpParser(true, fieldNames, MAX_BODY_BYTES, body);
    }

    /**
     * Creates a parser for a response whose body, streamed or not, is bounded by {@code maxBodyBytes} bytes. Only the
     * body of a 200 is delivered: an error page must not be parsed as a malformed stream, which would hide the
     * rejection.
     */
    public static HttpParser response(long maxBodyBytes, Body body) {
        return new HttpParser(false, Set.of(), maxBodyBytes, body);
    }

    /**
     * Creates a parser for a response as {@link #response(long, Body)} does, which keeps the named fields and those of
     * the framing alone.
     *
     * @param fieldNames the names of the fields to keep, in lower case
     */
    public static HttpParser response(Set<String> fieldNames, long maxBodyBytes, Body body) {
        return new HttpParser(false, fieldNames, maxBodyBytes, body);
    }

    /** Creates a parser for a response that delivers the bodies of errors too, for peers that describe errors there. */
    public static HttpParser responseOrError(long maxBodyBytes, Body body) {
        HttpParser parser = response(maxBodyBytes, body);
        parser.deliversErrorBodies = true;
        return parser;
    }

    public HttpHead head() {
        return head;
    }

    /** Forgets what is held of an incomplete message, which cannot be parsed further. */
    public void discard() {
        head.fields().clear();
        line = new ByteArrayOutputStream(0);
    }

    /** Returns the declared length of the body; a value above the limit if the body is chunked. */
    public long bodyLength() {
        return state == State.CHUNK_SIZE ? Long.MAX_VALUE : state == State.FIXED_LENGTH ? remainingBytes : 0;
    }

    public boolean headDone() {
        return state.ordinal() > State.FIELDS.ordinal();
    }

    public boolean done() {
        return state == State.DONE;
    }

    /** Whether the end of the connection is the end of the message. */
    public boolean endsWithClose() {
        return state == State.UNTIL_CLOSE;
    }

    /** Returns the memory in bytes that the head takes so far: the fields kept, and the line being read. */
    public long headMemoryBytes() {
        return keptMemoryBytes + 2L * line.size();
    }

    /** Consumes the buffer up to the end of the message; true once the message is complete. */
    public boolean feed(ByteBuffer in) throws HttpException {
        return feed(in, State.DONE);
    }

    /** Consumes the buffer up to the end of the head; true once the head is complete. */
    public boolean feedHead(ByteBuffer in) throws HttpException {
        feed(in, State.FIXED_LENGTH);
        return headDone();
    }

    /** Consumes the buffer until a state is reached that is not before {@code end}; returns whether it is. */
    private boolean feed(ByteBuffer in, State end) throws HttpException {
        while (state.ordinal() < end.ordinal() && in.hasRemaining()) {
            switch (state) {
                case FIXED_LENGTH, CHUNK, UNTIL_CLOSE -> readBody(in);
                default -> {
                    if (readLine(in)) {
                        String text = line.toString(StandardCharsets.ISO_8859_1);
                        line.reset();
                        handleLine(text);
                    }
                }
            }
        }
        return state.ordinal() >= end.ordinal();
    }

    private void readBody(ByteBuffer in) throws HttpException {
        int count = state == State.UNTIL_CLOSE ? in.remaining() : (int) Math.min(remainingBytes, in.remaining());
        countBodyBytes(count);
        if (request || deliversErrorBodies || head.status == 200) {
            body.accept(in.array(), in.arrayOffset() + in.position(), count);
        }
        in.position(in.position() + count);
        remainingBytes -= count;
        if (state != State.UNTIL_CLOSE && remainingBytes == 0) {
            state = state == State.FIXED_LENGTH ? State.DONE : State.CHUNK_END;
        }
    }

    private void countBodyBytes(long count) throws HttpException {
        bodyBytes += count;
        if (bodyBytes > maxBodyBytes) {
            throw new HttpException(413, "body too large");
        }
    }

    /** Reads bytes up to CRLF. A bare CR or LF is rejected, as not all parties end a line there. */
    private boolean readLine(ByteBuffer in) throws HttpException {
        boolean inHead = state == State.START || state == State.FIELDS || state == State.TRAILERS;
        while (in.hasRemaining()) {
            int next = in.get() & 255;
            if (inHead && ++headBytes > MAX_HEAD_BYTES) {
                throw new HttpException(431, "head too large");
            }
            if (!inHead && line.size() > MAX_CHUNK_LINE_BYTES) {
                throw new HttpException(400, "chunk size line too long");
            }
            if (!inHead && request && ++chunkLinesBytes > MAX_CHUNK_LINES_BYTES) {
                throw new HttpException(400, "chunks too small, or their extensions too long");
            }
            int size = line.size();
            boolean afterCr = size > 0 && endsWithCr;
            if (next == '\n') {
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
            endsWithCr = next == '\r';
            if (next < 32 && next != '\r' && next != '\t' || next == 127) {
                throw new HttpException(400, "control character in a line");
            }
            line.write(next);
        }
        return false;
    }

    private boolean endsWithCr;

    private void handleLine(String text) throws HttpException {
        switch (state) {
            case START -> {
                if (request && text.isEmpty()) {
                    return; // an empty line before a request is skipped
                }
                if (request) {
                    parseRequestLine(text);
                } else {
                    parseStatusLine(text);
                }
                state = State.FIELDS;
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    parseFraming();
                } else {
                    parseField(text);
                }
            }
            case CHUNK_SIZE -> parseChunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> { // trailers are ignored
                if (text.isEmpty()) {
                    state = State.DONE;
                }
            }
        }
    }

    private void parseRequestLine(String text) throws HttpException {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || !parts[1].matches("[!-~]+")) {
            throw new HttpException(400, "malformed request line");
        }
        parseVersion(parts[2]);
        head.method = parts[0];
        head.target = parts[1];
        keptMemoryBytes += text.length();
    }

    private void parseStatusLine(String text) throws HttpException {
        String[] parts = text.split(" ", 3);
        if (parts.length < 2 || !parts[1].matches("[1-5][0-9][0-9]")) {
            throw new HttpException(400, "malformed status line");
        }
        parseVersion(parts[0]);
        head.status = Integer.parseInt(parts[1]);
    }

    private void parseVersion(String text) throws HttpException {
        if (!text.equals("HTTP/1.1") && !text.equals("HTTP/1.0")) {
            throw new HttpException(400, "unknown protocol version");
        }
        head.http10 = text.equals("HTTP/1.0");
    }

    private void parseField(String text) throws HttpException {
        int colon = text.indexOf(':');
        if (colon < 1 || !isToken(text.substring(0, colon))) {
            throw new HttpException(400, "malformed header field"); // or a folded line
        }
        String name = text.substring(0, colon);
        if (isKept(name)) {
            head.fields().add(new String[] {name, text.substring(colon + 1).strip()});
            keptMemoryBytes += FIELD_MEMORY_BYTES + text.length();
        }
    }

    private boolean isKept(String name) throws HttpException {
        if (keptFields.isEmpty()) {
            return true;
        }
        String lowerCase = name.toLowerCase(Locale.ROOT);
        if (!keptFields.contains(lowerCase) && !FRAMING_FIELDS.contains(lowerCase)) {
            return false;
        }
        if (head.count(name) >= MAX_LINES_OF_FIELD) {
            throw new HttpException(431, name + " stands too often");
        }
        return true;
    }

    private void parseFraming() throws HttpException {
        int lengths = head.count("Content-Length");
        int codings = head.count("Transfer-Encoding");
        if (lengths > 1 || codings > 1 || lengths + codings > 1) {
            throw new HttpException(400, "ambiguous framing");
        }
        if (request && !head.http10 && head.count("Host") != 1) {
            throw new HttpException(400, "exactly one Host is needed");
        }
        if (codings == 1) {
            if (head.http10 || !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                throw new HttpException(400, "unknown transfer coding");
            }
            state = State.CHUNK_SIZE;
        } else if (lengths == 1) {
            String text = head.get("Content-Length");
            if (!text.matches("[0-9]{1,18}")) {
                throw new HttpException(400, "malformed Content-Length");
            }
            remainingBytes = Long.parseLong(text);
            if (remainingBytes > maxBodyBytes) {
                throw new HttpException(413, "body too large");
            }
            state = remainingBytes == 0 ? State.DONE : State.FIXED_LENGTH;
        } else if (request || head.status < 200 || head.status == 204 || head.status == 304) {
            state = State.DONE;
        } else {
            state = State.UNTIL_CLOSE;
        }
    }

    private void parseChunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        String digits = (semicolon < 0 ? text : text.substring(0, semicolon)).strip();
        if (!CHUNK_SIZE.matcher(digits).matches()) {
            throw new HttpException(400, "malformed chunk size");
        }
        remainingBytes = Long.parseLong(digits, 16);
        if (remainingBytes > maxBodyBytes - bodyBytes) {
            throw new HttpException(413, "body too large");
        }
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean alphanumeric = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
            if (!alphanumeric && "!#$%&'*+-.^_`|~".indexOf(c) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }
}
