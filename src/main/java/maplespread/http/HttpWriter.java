package maplespread.http;

import java.nio.charset.StandardCharsets;

/** Builds one message as a single byte array. */
public final class HttpWriter {
    private final StringBuilder head = new StringBuilder(256);

    private HttpWriter(String startLine) {
        head.append(startLine).append("\r\n");
    }

    public static HttpWriter request(String method, String target, String host) {
        return new HttpWriter(method + ' ' + target + " HTTP/1.1").field("Host", host);
    }

    public static HttpWriter response(int status) {
        return new HttpWriter("HTTP/1.1 " + status + ' ' + reason(status));
    }

    public HttpWriter field(String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /** Returns the complete message with its Content-Length and body. */
    public byte[] body(byte[] body) {
        byte[] headBytes =
                field("Content-Length", Integer.toString(body.length)).bytes();
        byte[] message = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    /** Returns the complete message without a body. */
    public byte[] bytes() {
        return (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String reason(int status) {
        return switch (status) {
            case 100 -> "Continue";
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 414 -> "URI Too Long";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}
