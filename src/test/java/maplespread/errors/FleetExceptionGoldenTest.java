package maplespread.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import maplespread.release.GoldenFile;
import org.junit.jupiter.api.Test;

/** The words of every error of the fleet, without the names of the classes, which nobody outside sees. */
class FleetExceptionGoldenTest {
    private static final class Sample extends FleetException {
        private static final long serialVersionUID = 1;

        Sample() {
            super("wrong", "works", "remedy");
        }
    }

    @Test
    void joinsItsThreePartsToTheMessage() {
        FleetException error = new Sample();
        assertEquals("wrong; still works: works; to do: remedy", error.getMessage());
        assertEquals(List.of("wrong", "works", "remedy"), List.of(error.problem(), error.unaffected(), error.remedy()));
    }

    /** Each constructor called with plain arguments: once for each of its kinds, where it has some. */
    @Test
    void everyErrorHasTheSameWords() throws Exception {
        TreeSet<String> found = new TreeSet<>();
        for (Class<?> error : errors()) {
            for (Constructor<?> made : error.getDeclaredConstructors()) {
                made.setAccessible(true);
                Class<?>[] types = made.getParameterTypes();
                Class<?> kinds =
                        Stream.of(types).filter(Class::isEnum).findFirst().orElse(null);
                for (Object kind : kinds == null ? new Object[] {""} : kinds.getEnumConstants()) {
                    found.add(kind + " -> " + told((FleetException) made.newInstance(arguments(types, kind)), kind));
                }
            }
        }
        GoldenFile.assertMatches("errors/errors.txt", String.join("\n", found) + "\n");
    }

    private static Object[] arguments(Class<?>[] types, Object kind) {
        Object[] all = new Object[types.length];
        for (int i = 0; i < types.length; i++) {
            if (types[i].isEnum()) {
                all[i] = kind;
            } else {
                all[i] = types[i] == int.class ? (Object) (i + 1) : "text" + i;
            }
        }
        return all;
    }

    /** The message, and the status of an admin answer where the kind has one. */
    private static String told(FleetException error, Object kind) throws ReflectiveOperationException {
        StringBuilder all = new StringBuilder(error.getMessage());
        for (Field field : kind instanceof Enum ? kind.getClass().getDeclaredFields() : new Field[0]) {
            if (field.getType() == int.class && !Modifier.isStatic(field.getModifiers())) {
                field.setAccessible(true);
                all.append(" (").append(field.get(kind)).append(')');
            }
        }
        return all.toString();
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
                if (FleetException.class.isAssignableFrom(found) && !Modifier.isAbstract(found.getModifiers())) {
                    all.add(found);
                }
            }
        }
        return all;
    }
}
