package maplespread.discovery;

/** Puts lines together to JSON objects: one may stand on a line of its own, or be indented over many. */
final class JsonObjectSplitter {
    private static final int LONGEST = 1 << 22;
    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean quoted;

    /** The object that this line ends; null where it ends none, as an empty line between two does not. */
    String add(String line) throws EndpointParser.MalformedListException {
        if (depth == 0 && !line.isEmpty() && line.charAt(0) != '{') {
            throw new EndpointParser.MalformedListException("not a JSON object");
        }
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (quoted && c == '\\') {
                i++;
            } else if (c == '"') {
                quoted = !quoted;
            } else if (!quoted && (c == '{' || c == '[')) {
                depth++;
            } else if (!quoted && (c == '}' || c == ']')) {
                depth--;
            }
        }
        if (text.length() + line.length() > LONGEST) {
            throw new EndpointParser.MalformedListException("longer than " + LONGEST);
        }
        text.append(line);
        if (depth > 0 || text.length() == 0) {
            return null;
        }
        String whole = text.toString();
        text.setLength(0);
        return whole;
    }
}
