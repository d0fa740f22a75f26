package maplespread.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.Test;

public class HttpParserTest {
    private static final String CHUNKED = "POST /a?b HTTP/1.1\r\nHost: h\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n"
            + "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes());
    }

    /** However a message is split, the parser reads the same message and consumes no byte of the next one. */
    @Test
    public void aMessageParsesTheSameHoweverItIsSplit() throws Exception {
        for (int cut = 0; cut <= CHUNKED.length(); cut++) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.request(body::write);
            assertEquals(cut == CHUNKED.length(), parser.feed(bytes(CHUNKED.substring(0, cut))));
            ByteBuffer rest = bytes(CHUNKED.substring(cut) + "GET");
            assertTrue(parser.feed(rest));
            assertEquals("abc0123456789", body.toString());
            assertEquals("/a?b", parser.head().target());
            assertEquals(3, rest.remaining());
        }
    }

    /** Bodies of unbounded length and chunk sizes that overflow must be rejected before their bytes arrive. */
    @Test
    public void chunksBeyondTheLimitAreRejectedBeforeTheyArrive() {
        for (String size : new String[] {"10001", "ffffffff", "FFFFFFFFF", "-1", "0x1", ""}) {
            HttpParser parser = HttpParser.request((b, at, n) -> {});
            HttpException e = assertThrows(
                    size,
                    HttpException.class,
                    () -> parser.feed(bytes(
                            "POST / HTTP/1.1\r\n" + "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n")));
            assertEquals(size, size.length() > 4 && size.length() < 9 ? 413 : 400, e.status());
        }
    }

    /** The page of a marked rejection must not be read as a stream. */
    @Test
    public void theBodyOfAnErrorIsSkipped() throws Exception {
        HttpParser parser = HttpParser.response(100, (b, at, n) -> {
            throw new HttpException(502, "read");
        });
        assertTrue(parser.feed(bytes("HTTP/1.1 503 S\r\nContent-Length: 4\r\n\r\npage")));
    }

    @Test
    public void aResponseWithoutALengthEndsWithItsConnection() throws Exception {
        HttpParser parser = HttpParser.response(100, (b, at, n) -> {});
        assertFalse(parser.feed(bytes("HTTP/1.1 200 OK\r\n\r\nabc")));
        assertTrue(parser.endsWithClose());
    }

    @Test
    public void linesAreSplitHoweverTheBytesArrive() throws Exception {
        List<String> got = new ArrayList<>();
        LineSplitter lines = new LineSplitter(10, got::add);
        for (byte b : "one\n\ntwo\r\nthr".getBytes()) {
            lines.accept(new byte[] {b}, 0, 1);
        }
        assertEquals(List.of("one", "", "two"), got);
        assertThrows(HttpException.class, () -> lines.accept(new byte[20], 0, 20));
    }

    /** Guards the heap: of a head of very many short fields only those are kept that the caller reads, few of each. */
    @Test
    public void onlyNamedFieldsAreKept() throws HttpException {
        HttpParser parser = HttpParser.request(Set.of("x-txn"), (b, at, n) -> {});
        String head = "GET / HTTP/1.1\r\nHost: t\r\nX-TXN: 1\r\n" + "a:\r\n".repeat(2000) + "Connection: close\r\n\r\n";
        assertTrue(parser.feed(ByteBuffer.wrap(head.getBytes())));
        assertEquals(3, parser.head().fields().size());
        assertEquals("1", parser.head().get("X-Txn"));
        assertFalse(parser.head().keepsAlive());
        HttpParser repeated = HttpParser.request(Set.of("x-txn"), (b, at, n) -> {});
        byte[] lines = ("GET / HTTP/1.1\r\n" + "x-txn:\r\n".repeat(9)).getBytes();
        assertEquals(
                431,
                assertThrows(HttpException.class, () -> repeated.feed(ByteBuffer.wrap(lines)))
                        .status());
    }

    /** Guards the others against bodies in very small chunks, or with long extensions, which cost many times their size. */
    @Test
    public void linesBetweenChunksAreBounded() throws Exception {
        String head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertTrue(HttpParser.request((b, at, n) -> {}).feed(bytes(head + "4\r\nabcd\r\n".repeat(5000) + "0\r\n\r\n")));
        for (String chunk : new String[] {"1\r\nx\r\n", "1;" + "e".repeat(1000) + "\r\nx\r\n"}) {
            ByteBuffer all = bytes(head + chunk.repeat(20_000));
            HttpParser parser = HttpParser.request((b, at, n) -> {});
            assertEquals(
                    400,
                    assertThrows(HttpException.class, () -> parser.feed(all)).status());
        }
    }
}
