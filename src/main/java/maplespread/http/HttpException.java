package maplespread.http;

import java.io.IOException;

/** Thrown for a message that cannot be accepted; holds the status with which a server answers it. */
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
