package maplespread.http;

import java.io.IOException;

/** A message that cannot be accepted, with the status that a server answers to it. */
public final class HttpException extends IOException {
    private static final long serialVersionUID = 1;
    private final int status;

    public HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
