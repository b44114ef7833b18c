package loadbalancer;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that the balancer's packages depend on each other only as docs/ARCHITECTURE.md shows, and
 * without cycles. The test is in this module because ArchUnit depends on a logging interface, which
 * must not be on the class path of the balancer's own tests.
 */
class PackageDependenciesTest {
    private static final String BASE = "loadbalancer";
    private static final AllowedPackages ALLOWED =
            new AllowedPackages(BASE, "java..", "io.netty..", "com.fasterxml.jackson..")
                    .allow("util")
                    .allow("storage")
                    .allow("admin")
                    .allow("proxy")
                    .allow("membership")
                    .allow("lease", "util")
                    .allow("routing.api")
                    .allow("routing.endpoint", "routing.api", "util")
                    .allow("routing.health", "routing.api", "routing.endpoint")
                    .allow("routing.admission", "routing.api", "routing.endpoint")
                    .allow("routing.gossip", "routing.api", "routing.endpoint", "util")
                    .allow(
                            "routing",
                            "routing.api",
                            "routing.endpoint",
                            "routing.health",
                            "routing.admission",
                            "routing.gossip",
                            "util")
                    .allow("config", "routing.api", "util")
                    .allow("simulator", "config", "routing.api")
                    .allow("recovery", "config", "routing.api", "storage")
                    .allow("discovery", "config", "proxy", "routing.api")
                    .allow(
                            "cluster",
                            "admin",
                            "config",
                            "lease",
                            "membership",
                            "recovery",
                            "routing.api",
                            "util")
                    .allow("upstream", "admin", "config", "proxy", "routing.api", "util")
                    .allow(
                            "dispatch",
                            "admin",
                            "cluster",
                            "config",
                            "discovery",
                            "proxy",
                            "routing.api",
                            "upstream",
                            "util")
                    .allow("http", "admin", "config", "dispatch", "proxy", "routing.api", "util")
                    .allow(
                            "server",
                            "admin",
                            "cluster",
                            "config",
                            "discovery",
                            "dispatch",
                            "http",
                            "proxy",
                            "recovery",
                            "routing",
                            "routing.api",
                            "upstream");

    private static final JavaClasses PRODUCTION_CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages(BASE)
                    .that(resideOutsideOfPackage(BASE + ".testbed.."));

    static Stream<String> packages() {
        return ALLOWED.packages().stream();
    }

    @ParameterizedTest
    @MethodSource("packages")
    void packageUsesOnlyAllowedPackages(String from) {
        ALLOWED.check(from, PRODUCTION_CLASSES);
    }

    @Test
    void packagesAreFreeOfCycles() {
        slices().matching(BASE + ".(**)").should().beFreeOfCycles().check(PRODUCTION_CLASSES);
    }

    @Test
    void everyPackageHasARule() {
        Set<String> found = new TreeSet<>();
        for (JavaClass javaClass : PRODUCTION_CLASSES) {
            if (!javaClass.getPackageName().equals(BASE)) {
                found.add(javaClass.getPackageName().substring(BASE.length() + 1));
            }
        }
        assertEquals(ALLOWED.packages(), found);
    }
}
