package maplespread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the documentation names only classes, members and packages that exist. */
class PagesTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Pattern CODE = Pattern.compile("`([^`\n]+)`");
    private static final Pattern TYPE = Pattern.compile("[A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*");
    private static final Pattern PACKAGE = Pattern.compile("maplespread(\\.[a-z]+)*");
    private static final Pattern DECLARATION =
            Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z][A-Za-z0-9]*)");

    private static List<Path> sources(Path root) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            return all.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    private static Set<String> declaredTypes() throws IOException {
        Set<String> types = new HashSet<>();
        for (Path root : List.of(SOURCES, Path.of("src/test/java"))) {
            for (Path file : sources(root)) {
                Matcher declaration = DECLARATION.matcher(Files.readString(file));
                while (declaration.find()) {
                    types.add(declaration.group(1));
                }
            }
        }
        return types;
    }

    /** Whether a word in code style names a type, member or package that does not exist. */
    private static boolean missing(String word, Set<String> types) {
        if (PACKAGE.matcher(word).matches()) {
            return !Files.isDirectory(SOURCES.resolve(word.replace('.', '/')));
        }
        String[] parts = word.split("\\.");
        if (!TYPE.matcher(parts[0]).matches()) {
            return false;
        }
        if (!types.contains(parts[0])) {
            return true;
        }
        return parts.length > 1 && !declares(parts[0], parts[1], types);
    }

    private static boolean declares(String type, String member, Set<String> types) {
        try {
            for (Path root : List.of(SOURCES, Path.of("src/test/java"))) {
                for (Path file : sources(root)) {
                    String text = Files.readString(file);
                    if (text.contains(type)
                            && Pattern.compile("\\b" + member + "\\b")
                                    .matcher(text)
                                    .find()) {
                        return true;
                    }
                }
            }
            return types.contains(member);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static List<String> missingIn(List<String> lines) throws IOException {
        Set<String> types = declaredTypes();
        assertTrue(types.size() > 300, "the scan found the types");
        List<String> missing = new ArrayList<>();
        int checked = 0;
        for (String line : lines) {
            Matcher code = CODE.matcher(line);
            while (code.find()) {
                checked++;
                if (missing(code.group(1), types)) {
                    missing.add(code.group(1));
                }
            }
        }
        assertTrue(checked > 50, "the page has names in code style");
        return missing;
    }

    @Test
    void architecturePageNamesExistingCode() throws IOException {
        assertEquals(List.of(), missingIn(Files.readAllLines(Path.of("docs/architecture.md"))));
    }

    /** Former names in the glossary are not in code style, so they are not checked. */
    @Test
    void glossaryNamesExistingCode() throws IOException {
        assertEquals(List.of(), missingIn(Files.readAllLines(Path.of("docs/glossary.md"))));
    }
}
