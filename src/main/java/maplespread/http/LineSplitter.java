package maplespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Splits a streamed body into lines of text. Empty lines are delivered too, as heartbeats. */
public final class LineSplitter implements HttpParser.Body {
    /** Receives the lines. */
    public interface LineConsumer {
        void take(String line) throws HttpException;
    }

    private final int maxLineBytes;
    private final LineConsumer consumer;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

    public LineSplitter(int maxLineBytes, LineConsumer consumer) {
        this.maxLineBytes = maxLineBytes;
        this.consumer = consumer;
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
                consumer.take(text.strip());
            }
        }
        line.write(from, start, at + length - start);
        if (line.size() > maxLineBytes) {
            throw new HttpException(413, "line too long");
        }
    }
}
