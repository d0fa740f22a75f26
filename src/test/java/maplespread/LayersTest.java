package maplespread;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
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

/** Checks the dependencies between packages that their package-info files state. */
class LayersTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("maplespread");

    @Test
    void nothingButTheCommandLineDependsOnTheLab() {
        noClasses()
                .that()
                .resideOutsideOfPackages("maplespread.lab..", "maplespread.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("maplespread.lab..")
                .check(ALL);
    }

    @Test
    void onlyTheEntryPointDependsOnTheCommandLine() {
        noClasses()
                .that()
                .resideOutsideOfPackage("maplespread.cli..")
                .and()
                .doNotHaveSimpleName("Main")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("maplespread.cli..", "picocli..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("maplespread.cli..")
                .should()
                .dependOnClassesThat()
                .haveSimpleName("Main")
                .check(ALL);
    }

    /** Only one package names the optional features, so that no other code can load a feature that is off. */
    @Test
    void featuresAreNamedInOnePackageAndDoNotDependOnTheServer() {
        noClasses()
                .that()
                .resideOutsideOfPackage("maplespread.feature")
                .should()
                .dependOnClassesThat()
                .haveNameMatching("maplespread\\.feature\\..+Feature(\\$.*)?")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("maplespread.feature")
                .should()
                .dependOnClassesThat()
                .haveSimpleName("DispatcherServer")
                .check(ALL);
    }

    /** Decision code has no sockets, files, clock or threads: events drive it, and tests run it with seeds. */
    @Test
    void decisionCodeDoesNoInputOrOutput() {
        String[] decisionPackages = {
            "maplespread.policy",
            "maplespread.registry",
            "maplespread.registry.wire",
            "maplespread.membership",
            "maplespread.address",
            "maplespread.announce",
            "maplespread.subset",
            "maplespread.quota",
            "maplespread.consensus",
            "maplespread.errors",
            "maplespread.release",
            "maplespread.partition",
            "maplespread.starvation"
        };
        noClasses()
                .that()
                .resideInAnyPackage(decisionPackages)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.util.concurrent..",
                        "java.time..",
                        "org.tinylog..",
                        "maplespread.http..",
                        "maplespread.caller..",
                        "maplespread.worker..",
                        "maplespread.log..",
                        "maplespread.registry.client..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(decisionPackages)
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(
                        Thread.class,
                        java.io.File.class,
                        java.io.FileInputStream.class,
                        java.io.OutputStream.class,
                        java.net.Socket.class,
                        java.net.InetAddress.class)
                .check(ALL);
        for (String clock : List.of("currentTimeMillis", "nanoTime")) {
            noClasses()
                    .that()
                    .resideInAnyPackage(decisionPackages)
                    .should()
                    .callMethod(System.class, clock)
                    .check(ALL);
        }
    }

    @Test
    void thePolicyDependsOnNoOtherPackageAndTheFacadeOnNoProtocol() {
        classes()
                .that()
                .resideInAPackage("maplespread.policy")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("maplespread.policy", "java..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("maplespread.facade")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("maplespread.http..", "maplespread.discovery..", "maplespread.registry..")
                .check(ALL);
    }

    /** Results that depend on the kind of machine would make decisions, and records of them, differ between machines. */
    @Test
    void functionsThatDifferBetweenMachinesAreUsedInOnePlace() {
        for (String function : List.of(
                "exp", "log", "pow", "log10", "log1p", "expm1", "sin", "cos", "tan", "asin", "acos", "atan", "atan2",
                "sinh", "cosh", "tanh", "cbrt", "hypot")) {
            noClasses()
                    .should()
                    .callMethodWhere(target(owner(type(Math.class))).and(target(name(function))))
                    .check(ALL);
        }
    }

    @Test
    void endpointSourcesAreReachedByOneInterface() {
        noClasses()
                .that()
                .resideInAnyPackage("maplespread.caller..", "maplespread.worker..", "maplespread.facade..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("maplespread.registry..")
                .check(ALL);
    }

    /** The code that serves clients reaches ordering by one interface, without slots, leases or the group. */
    @Test
    void orderingIsReachedByOneInterface() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "maplespread.caller..", "maplespread.worker..", "maplespread.facade..", "maplespread.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("maplespread.partition..", "maplespread.cluster..", "maplespread.consensus..")
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackages("maplespread.partition.client", "maplespread.feature", "maplespread.lab..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("maplespread.partition.client")
                .check(ALL);
    }

    /** Each package has a package-info that states what it owns, its threads and what it may import. */
    @Test
    void everyPackageHasAPackageInfo() throws IOException {
        Path root = Path.of("src/main/java/maplespread");
        List<Path> lacking = new ArrayList<>();
        int packages = 0;
        try (Stream<Path> folders = Files.walk(root).filter(Files::isDirectory)) {
            for (Path folder : folders.toList()) {
                try (Stream<Path> files = Files.list(folder)) {
                    if (files.noneMatch(file -> file.toString().endsWith(".java"))) {
                        continue;
                    }
                }
                packages++;
                if (!Files.exists(folder.resolve("package-info.java"))) {
                    lacking.add(folder);
                }
            }
        }
        assertEquals(List.of(), lacking);
        assertTrue(packages >= 44, () -> "the packages were found");
    }

    /** A rule about a package that no longer exists would always pass. */
    @Test
    void rulesNameExistingPackages() throws IOException {
        String rules = Files.readString(Path.of("src/test/java/maplespread/LayersTest.java"));
        Matcher names =
                Pattern.compile("\"(maplespread(?:\\.[a-z]+)+)(?:\\.\\.)?\"").matcher(rules);
        Set<String> missing = new TreeSet<>();
        int named = 0;
        while (names.find()) {
            named++;
            String name = names.group(1);
            if (!Files.isDirectory(Path.of("src/main/java", name.replace('.', '/')))) {
                missing.add(name);
            }
        }
        assertEquals(Set.of(), missing);
        assertTrue(named > 30, "the names were found");
    }
}
