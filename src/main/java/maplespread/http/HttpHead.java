package maplespread.http;

import java.util.ArrayList;
import java.util.List;

/** The start line and the header fields of one message. */
public final class HttpHead {
    private final List<String[]> fields = new ArrayList<>();
    String method = "";
    String target = "";
    int status;
    /** Whether the version is HTTP/1.0. */
    boolean http10;

    public String method() {
        return method;
    }

    public String target() {
        return target;
    }

    public int status() {
        return status;
    }

    /** Returns the name and value of each field in order, the names as received. */
    public List<String[]> fields() {
        return fields;
    }

    /** Returns the first value of a field, or null. */
    public String get(String name) {
        for (String[] f : fields) {
            if (f[0].equalsIgnoreCase(name)) {
                return f[1];
            }
        }
        return null;
    }

    public int count(String name) {
        int n = 0;
        for (String[] f : fields) {
            n += f[0].equalsIgnoreCase(name) ? 1 : 0;
        }
        return n;
    }

    /** Whether a comma-separated field contains the token in any of its lines. */
    public boolean lists(String name, String token) {
        for (String[] f : fields) {
            if (f[0].equalsIgnoreCase(name)) {
                for (String part : f[1].split(",")) {
                    if (part.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Whether the connection may carry another message after this one. */
    public boolean keepsAlive() {
        return http10 ? lists("Connection", "keep-alive") : !lists("Connection", "close");
    }
}
