package maplespread.discovery;

/** Assembles JSON objects from lines; an object takes one line or spans several. Not thread-safe. */
final class JsonObjectSplitter {
    private static final int MAX_OBJECT_CHARS = 1 << 22;

    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean quoted;

    /** Adds a line; returns the object that it completes, or null if none, as for an empty line between objects. */
    String add(String line) throws EndpointParser.MalformedListException {
        if (depth == 0 && !line.isEmpty() && line.charAt(0) != '{') {
            throw new EndpointParser.MalformedListException("not a JSON object");
        }
        updateNesting(line);
        if (text.length() + line.length() > MAX_OBJECT_CHARS) {
            throw new EndpointParser.MalformedListException(
                    "JSON object exceeds the character limit of " + MAX_OBJECT_CHARS);
        }
        text.append(line);
        if (depth > 0 || text.length() == 0) {
            return null;
        }
        String object = text.toString();
        text.setLength(0);
        return object;
    }

    private void updateNesting(String line) {
        for (int i = 0; i < line.length(); i++) {
            char next = line.charAt(i);
            if (quoted && next == '\\') {
                i++; // the escaped character
            } else if (next == '"') {
                quoted = !quoted;
            } else if (!quoted && (next == '{' || next == '[')) {
                depth++;
            } else if (!quoted && (next == '}' || next == ']')) {
                depth--;
            }
        }
    }
}
