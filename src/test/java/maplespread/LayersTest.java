package maplespread;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The layers, as the packages' own pages state them. */
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
    void onlyTheWayInKnowsTheCommandLine() {
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

    /** One place names the optional parts, so that one that is off cannot be loaded by another way. */
    @Test
    void thePartsAreNamedInOnePlaceAndKnowNoServer() {
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

    /** What decides has no sockets, files, clock or threads: it is driven by events and tested with seeds. */
    @Test
    void whatDecidesDoesNoInputOrOutput() {
        String[] pure = {
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
                .resideInAnyPackage(pure)
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
                .resideInAnyPackage(pure)
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
                    .resideInAnyPackage(pure)
                    .should()
                    .callMethod(System.class, clock)
                    .check(ALL);
        }
    }

    @Test
    void theModuleKnowsNoHostAndTheFacadeNoProtocol() {
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

    @Test
    void sourcesOfRoutesAreEnteredByOneInterface() {
        noClasses()
                .that()
                .resideInAnyPackage("maplespread.caller..", "maplespread.worker..", "maplespread.facade..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("maplespread.registry..")
                .check(ALL);
    }

    /** Order is entered by one interface: who serves clients knows nothing of slots, leases and the group. */
    @Test
    void orderIsEnteredByOneInterface() {
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

    /** Each new package says what it owns and whom it may call. */
    @Test
    void newPackagesSayWhatTheyOwn() throws IOException {
        for (String p : List.of(
                "log",
                "registry",
                "registry/wire",
                "registry/client",
                "discovery",
                "cli",
                "lab",
                "lab/registry",
                "lab/membership",
                "lab/address",
                "membership",
                "membership/client",
                "address",
                "announce",
                "admin",
                "metrics",
                "upgrade",
                "subset",
                "quota",
                "errors",
                "feature",
                "cluster",
                "release",
                "release/client",
                "lab/fleet",
                "consensus",
                "consensus/client",
                "lab/agreement",
                "partition",
                "partition/client",
                "lab/partition",
                "lab/release",
                "starvation",
                "starvation/client",
                "lab/starvation",
                "lab/rig",
                "lab/scale")) {
            assertTrue(Files.exists(Path.of("src/main/java/maplespread", p, "package-info.java")), p);
        }
        try (Stream<Path> all = Files.walk(Path.of("src/main/java/maplespread/registry"))) {
            assertTrue(all.filter(Files::isDirectory).allMatch(d -> Files.exists(d.resolve("package-info.java"))));
        }
    }
}
