package maplespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Cuts a streamed body into lines of text; empty ones are handed on too, as signs of life. */
public final class LineSplitter implements HttpParser.Body {
    /** Takes one line. */
    public interface LineConsumer {
        void take(String line) throws HttpException;
    }

    private final int longest;
    private final LineConsumer taker;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

    public LineSplitter(int longest, LineConsumer taker) {
        this.longest = longest;
        this.taker = taker;
    }

    @Override
    public void accept(byte[] from, int at, int length) throws HttpException {
        int start = at;
        for (int i = at; i < at + length; i++) {
            if (from[i] == '\n') {
                line.write(from, start, i - start);
                start = i + 1;
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                taker.take(text.strip());
            }
        }
        line.write(from, start, at + length - start);
        if (line.size() > longest) {
            throw new HttpException(413, "line too long");
        }
    }
}
