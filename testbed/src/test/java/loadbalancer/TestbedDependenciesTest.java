package loadbalancer;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that the testbed's packages depend only on allowed packages, and without cycles. Packages
 * shared by runs with real processes and by simulations must depend on neither.
 */
class TestbedDependenciesTest {
    private static final String BASE = "loadbalancer";
    private static final String TESTBED = BASE + ".testbed";

    /** The packages of the testbed and of the balancer that each package may use. */
    private static final AllowedPackages ALLOWED =
            new AllowedPackages(
                            BASE,
                            "java..",
                            "javax..",
                            "com.sun.management",
                            "com.fasterxml.jackson..",
                            "org.HdrHistogram..",
                            "org.apache.commons.rng..",
                            "org.jfree..")
                    .allow("testbed.scenario")
                    .allow("testbed.workload", "testbed.scenario")
                    .allow("testbed.network", "testbed.scenario", "testbed.workload")
                    .allow("testbed.endpointmodel", "testbed.scenario")
                    .allow(
                            "testbed.fault",
                            "testbed.endpointmodel",
                            "testbed.scenario",
                            "testbed.workload",
                            "routing.api")
                    .allow("testbed.invariant", "testbed.scenario", "testbed.workload")
                    .allow(
                            "testbed.client",
                            "testbed.invariant",
                            "testbed.scenario",
                            "testbed.workload")
                    .allow(
                            "testbed.statistics",
                            "testbed.invariant",
                            "testbed.scenario",
                            "testbed.workload")
                    .allow("testbed.report", "testbed.statistics")
                    .allow(
                            "testbed.modelcheck",
                            "testbed.workload",
                            "lease",
                            "membership",
                            "routing.gossip")
                    .allow(
                            "testbed.simulation",
                            "testbed.client",
                            "testbed.emulation",
                            "testbed.endpointmodel",
                            "testbed.fault",
                            "testbed.invariant",
                            "testbed.network",
                            "testbed.scenario",
                            "testbed.statistics",
                            "testbed.workload",
                            "config",
                            "lease",
                            "membership",
                            "routing",
                            "routing.api")
                    .allow(
                            "testbed.slowstart",
                            "testbed.scenario",
                            "testbed.simulation",
                            "testbed.workload");

    private static final JavaClasses TESTBED_CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages(TESTBED);

    static Stream<String> packages() {
        return ALLOWED.packages().stream();
    }

    @ParameterizedTest
    @MethodSource("packages")
    void packageUsesOnlyAllowedPackages(String from) {
        ALLOWED.check(from, TESTBED_CLASSES);
    }

    @Test
    void packagesAreFreeOfCycles() {
        slices().matching(TESTBED + ".(*)..").should().beFreeOfCycles().check(TESTBED_CLASSES);
    }
}
