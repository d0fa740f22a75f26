package maplespread.http;

import java.util.ArrayList;
import java.util.List;

/** The start line and the header fields of one message. */
public final class HttpHead {
    private final List<String[]> fields = new ArrayList<>();
    String method = "";
    String target = "";
    int status;
    boolean oldVersion; // HTTP/1.0

    public String method() {
        return method;
    }

    public String target() {
        return target;
    }

    public int status() {
        return status;
    }

    /** Name and value of each field, in order, names as they came. */
    public List<String[]> fields() {
        return fields;
    }

    /** The value of a field, or null; a field that stands more than once gives its first value. */
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

    /** Whether a comma-separated field, in any of its lines, lists this token. */
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
        return oldVersion ? lists("Connection", "keep-alive") : !lists("Connection", "close");
    }
}
