package maplespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Cuts a streamed body into lines of text; empty ones are handed on too, as signs of life. */
public final class Lines implements HttpParser.Body {
    /** Takes one line. */
    public interface Taker {
        void take(String line) throws HttpError;
    }

    private final int longest;
    private final Taker taker;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

    public Lines(int longest, Taker taker) {
        this.longest = longest;
        this.taker = taker;
    }

    @Override
    public void accept(byte[] from, int at, int length) throws HttpError {
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
            throw new HttpError(413, "line too long");
        }
    }
}
