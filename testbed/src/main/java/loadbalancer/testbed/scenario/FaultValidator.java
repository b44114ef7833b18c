package loadbalancer.testbed.scenario;

import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;

/** Validates the faults of a scenario according to their kinds. Immutable. */
final class FaultValidator {
    private static final Set<String> STATE_CHANGES =
            Set.of("kept", "emptied", "cut", "flipped", "older");
    private static final double MAX_SLOWDOWN_FACTOR = 1000;
    private static final double MIN_BYTES_PER_SECOND = 100;
    private static final double MAX_BYTES_PER_SECOND = 1e9;
    // Validation does not depend on the seed; a run selects its targets with its own seed.
    private static final long VALIDATION_SEED = 1;

    private final Scenario scenario;
    private final FieldChecks checks;

    FaultValidator(Scenario scenario, FieldChecks checks) {
        this.scenario = scenario;
        this.checks = checks;
    }

    /**
     * Validates a fault.
     *
     * @param location the fault's location in the scenario, for example {@code fault[0]}
     * @throws InvalidScenarioException at the first field that is not allowed
     */
    void validate(Scenario.FaultSpec fault, String location) {
        FaultKind kind =
                FaultKind.fromKeyword(fault.kind())
                        .orElseThrow(
                                () ->
                                        checks.invalid(
                                                location + ".kind",
                                                "unknown kind of fault: '" + fault.kind() + "'"));
        validateTimes(fault, kind, location);
        validateTargets(fault, kind, location);
        validateAmount(fault, kind, location + ".amount");
        validateClass(fault, location + ".class");
        checks.requireOneOf(location + ".state", fault.stateChange(), STATE_CHANGES);
    }

    private void validateTimes(Scenario.FaultSpec fault, FaultKind kind, String location) {
        if (fault.atS() == null) {
            throw checks.invalid(location + ".at_s", "missing: the fault's start in seconds");
        }
        checks.requireBetween(location + ".at_s", fault.atS(), 0, scenario.lengthS());
        if (kind.requiresEnd() && fault.untilS() == null) {
            throw checks.invalid(location + ".until_s", "missing: the fault's end in seconds");
        }
        if (fault.untilS() != null) {
            checks.requireBetween(
                    location + ".until_s", fault.untilS(), fault.atS(), scenario.lengthS());
        }
    }

    private void validateTargets(Scenario.FaultSpec fault, FaultKind kind, String location) {
        TargetSelector targets = requireSelector(fault.target(), location + ".on");
        if (kind.targetKind() == FaultKind.TargetKind.BALANCERS && !targets.upstreams().isEmpty()) {
            throw checks.invalid(location + ".on", kind.keyword() + " accepts balancers only");
        }
        if (kind.targetKind() == FaultKind.TargetKind.UPSTREAMS && !targets.balancers().isEmpty()) {
            throw checks.invalid(location + ".on", kind.keyword() + " accepts upstreams only");
        }
        if (kind.affectsPath()) {
            requireSelector(fault.counterpart(), location + ".to");
        } else if (fault.counterpart() != null) {
            throw checks.invalid(
                    location + ".to",
                    kind.keyword() + " affects no network path, so it must not be set");
        }
    }

    private TargetSelector requireSelector(String selector, String location) {
        if (selector == null) {
            throw checks.invalid(location, "missing: balancers, upstreams or zone:NAME");
        }
        try {
            return TargetSelector.parse(
                    selector, scenario, RandomSource.XO_RO_SHI_RO_128_PP.create(VALIDATION_SEED));
        } catch (InvalidSelectorException e) {
            throw checks.invalid(location, e.getMessage());
        }
    }

    private void validateAmount(Scenario.FaultSpec fault, FaultKind kind, String location) {
        switch (kind) {
            case LOSS, REPEAT, REORDER -> requireAmount(fault, location, 0, 1);
            case SLOW -> requireAmount(fault, location, 1, MAX_SLOWDOWN_FACTOR);
            case THIN -> requireAmount(fault, location, MIN_BYTES_PER_SECOND, MAX_BYTES_PER_SECOND);
            default -> {}
        }
    }

    private void requireAmount(Scenario.FaultSpec fault, String location, double min, double max) {
        if (fault.amount() == null) {
            throw checks.invalid(location, "missing: a number");
        }
        checks.requireBetween(location, fault.amount(), min, max);
    }

    private void validateClass(Scenario.FaultSpec fault, String location) {
        boolean known =
                fault.requestClass() == null
                        || scenario.classes().stream()
                                .map(Scenario.RequestClass::name)
                                .anyMatch(name -> name.equals(fault.requestClass()));
        if (!known) {
            throw checks.invalid(location, "no class is named '" + fault.requestClass() + "'");
        }
    }
}
