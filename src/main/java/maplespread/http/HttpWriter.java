package maplespread.http;

import java.nio.charset.StandardCharsets;

/** Puts one message together as a single run of bytes. */
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

    /** The whole message, with the body's length stated. */
    public byte[] body(byte[] body) {
        byte[] top = field("Content-Length", Integer.toString(body.length)).bytes();
        byte[] all = new byte[top.length + body.length];
        System.arraycopy(top, 0, all, 0, top.length);
        System.arraycopy(body, 0, all, top.length, body.length);
        return all;
    }

    /** The whole message, for one that has no body. */
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
