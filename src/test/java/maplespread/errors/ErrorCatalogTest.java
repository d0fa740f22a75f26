package maplespread.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Holds docs/operators/errors.md to the code. */
class ErrorCatalogTest {
    /** The operators' list has every error and every kind of it, in the code's words, and no other. */
    @Test
    void operatorsPageListsEveryErrorInTheCodesWords() throws Exception {
        List<String> rows = Files.readAllLines(Path.of("docs/operators/errors.md")).stream()
                .filter(line -> line.startsWith("| `"))
                .toList();
        Set<String> wanted = new TreeSet<>();
        for (Class<?> error : errors()) {
            String name = "| `" + error.getSimpleName() + "` | ";
            List<Class<?>> reasons = Stream.<Class<?>>of(error.getDeclaredClasses())
                    .filter(Class::isEnum)
                    .toList();
            if (reasons.isEmpty()) {
                wanted.add(name + " | ");
            }
            for (Class<?> reason : reasons) {
                for (Object one : reason.getEnumConstants()) {
                    wanted.add(name + "`" + one + "` | ");
                    assertTrue(
                            rows.stream()
                                    .anyMatch(r -> r.startsWith(name + "`" + one + "` | ") && r.endsWith(words(one))),
                            () -> name + one + " is not told in the code's words");
                }
            }
        }
        assertTrue(wanted.size() > 10, "the scan found the errors");
        assertEquals(
                wanted,
                rows.stream()
                        .map(r -> wanted.stream()
                                .filter(r::startsWith)
                                .findFirst()
                                .orElse(r))
                        .collect(Collectors.toCollection(TreeSet::new)));
    }

    private static List<Class<?>> errors() throws Exception {
        Path root = Path.of(FleetException.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .toURI());
        List<Class<?>> all = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root.resolve("maplespread"))) {
            for (Path file : (Iterable<Path>) files.filter(f -> f.toString().endsWith(".class"))::iterator) {
                String name = root.relativize(file)
                        .toString()
                        .replaceAll("[.]class$", "")
                        .replace('/', '.');
                Class<?> found = Class.forName(name, false, FleetException.class.getClassLoader());
                if (FleetException.class.isAssignableFrom(found) && found != FleetException.class) {
                    all.add(found);
                }
            }
        }
        return all;
    }

    /** The kind's own words as the row ends with them; none where the kind has no texts. */
    private static String words(Object kind) {
        boolean hasTexts = Stream.of(kind.getClass().getDeclaredFields())
                .anyMatch(field -> field.getType() == String.class && !Modifier.isStatic(field.getModifiers()));
        return hasTexts ? " | " + text(kind, "works") + " | " + text(kind, "remedy") + " |" : " |";
    }

    private static String text(Object kind, String name) {
        try {
            Field field = kind.getClass().getDeclaredField(name);
            field.setAccessible(true);
            return (String) field.get(kind);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(kind + " has texts, but not " + name, e);
        }
    }
}
