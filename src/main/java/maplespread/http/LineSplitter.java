package maplespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Splits a streamed body into lines of text. Empty lines are delivered too, as heartbeats. */
public final class LineSplitter implements HttpParser.Body {
    /** Receives the lines. */
    public interface LineConsumer {
        void take(String line) throws HttpException;
    }

    private static final int INITIAL_LINE_BYTES = 256;
    /** Length above which the buffer of a line is not used for the next one. */
    private static final int MAX_REUSED_LINE_BYTES = 8 * 1024;

    private final int maxLineBytes;
    private final LineConsumer consumer;
    private ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);

    public LineSplitter(int maxLineBytes, LineConsumer consumer) {
        this.maxLineBytes = maxLineBytes;
        this.consumer = consumer;
    }

    /** Returns the length of the line that is not complete yet. */
    public int pendingBytes() {
        return line.size();
    }

    @Override
    public void accept(byte[] from, int at, int length) throws HttpException {
        int start = at;
        for (int i = at; i < at + length; i++) {
            if (from[i] == '\n') {
                line.write(from, start, i - start);
                start = i + 1;
                String text = line.toString(StandardCharsets.UTF_8);
                forgetLine();
                consumer.take(text.strip());
            }
        }
        line.write(from, start, at + length - start);
        if (line.size() > maxLineBytes) {
            throw new HttpException(413, "line too long");
        }
    }

    private void forgetLine() {
        if (line.size() > MAX_REUSED_LINE_BYTES) {
            line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
        } else {
            line.reset();
        }
    }
}
