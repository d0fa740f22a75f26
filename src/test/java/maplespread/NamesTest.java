package maplespread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The program is independent of the deployment: names of classes and tenants come only from the settings. */
class NamesTest {
    private static final Pattern TOML = Pattern.compile("\\[\\[(?:class|tenant)]]\\s+name = \"([^\"]+)\"");
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");

    private static List<Path> files(String root, String ending) throws Exception {
        try (Stream<Path> all = Files.walk(Path.of(root))) {
            return all.filter(p -> p.toString().endsWith(ending)).toList();
        }
    }

    /** Returns the names in the example's settings and in the deployments of this repository. */
    private static Set<String> names() throws Exception {
        Set<String> names = new TreeSet<>();
        var settings = JsonParser.parseString(Files.readString(Path.of("example/config.json")))
                .getAsJsonObject()
                .getAsJsonObject("settings");
        for (String key : new String[] {"classes", "customers"}) {
            for (JsonElement e : settings.getAsJsonArray(key)) {
                names.add(e.getAsJsonObject().get("name").getAsString());
            }
        }
        for (Path site : files("deploy/sites", ".toml")) {
            Matcher m = TOML.matcher(Files.readString(site));
            while (m.find()) {
                names.add(m.group(1));
            }
        }
        return names;
    }

    @Test
    void noCodeLoadedByServeNamesADeploymentsClassOrTenant() throws Exception {
        Set<String> names = names();
        assertTrue(names.size() > 8, () -> "names were found: " + names);
        List<String> found = new ArrayList<>();
        for (Path file : files("src/main/java", ".java")) {
            if (file.toString().contains("/lab/")) { // examples and measurements, which serve never loads
                continue;
            }
            Matcher m = LITERAL.matcher(Files.readString(file));
            while (m.find()) {
                String literal = m.group(1);
                names.stream()
                        .filter(n -> literal.matches("(?s)(.*\\W)?" + Pattern.quote(n) + "(\\W.*)?"))
                        .forEach(n -> found.add(file + ": " + n));
            }
        }
        for (String file : new String[] {"deploy/balancer.toml", "deploy/archive.sh"}) {
            String text = Files.readString(Path.of(file));
            names.stream().filter(text::contains).forEach(n -> found.add(file + ": " + n));
        }
        assertEquals(List.of(), found);
    }
}
