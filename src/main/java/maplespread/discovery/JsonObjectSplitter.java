package maplespread.discovery;

/** Joins lines to JSON objects: one may stand on a line of its own, or be indented over many. Not thread-safe. */
final class JsonObjectSplitter {
    private static final int MAX_OBJECT_CHARS = 1 << 22;

    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean quoted;

    /** The object that this line ends; null where it ends none, as an empty line between two does not. */
    String add(String line) throws EndpointParser.MalformedListException {
        if (depth == 0 && !line.isEmpty() && line.charAt(0) != '{') {
            throw new EndpointParser.MalformedListException("not a JSON object");
        }
        countBrackets(line);
        if (text.length() + line.length() > MAX_OBJECT_CHARS) {
            throw new EndpointParser.MalformedListException("longer than " + MAX_OBJECT_CHARS);
        }
        text.append(line);
        if (depth > 0 || text.length() == 0) {
            return null;
        }
        String object = text.toString();
        text.setLength(0);
        return object;
    }

    private void countBrackets(String line) {
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
