package loadbalancer.testbed.endpointmodel;

import loadbalancer.testbed.scenario.Scenario;

/**
 * The faults that change how an upstream serves requests: it drains, hangs, is slow, or fails
 * requests. They act on its {@link EndpointModel}, whatever brings the requests to it. Confined to
 * the thread of the run.
 */
public final class FaultableService {
    private final EndpointModel model;
    private final InjectedFailures failures;
    private final Runnable onCompletionChanged;
    private boolean draining;

    /**
     * Creates it without faults.
     *
     * @param onCompletionChanged runs when {@link EndpointModel#nextCompletionMicros} may have
     *     changed by a fault
     */
    public FaultableService(EndpointModel model, Scenario scenario, Runnable onCompletionChanged) {
        this.model = model;
        this.failures = new InjectedFailures(scenario.classes());
        this.onCompletionChanged = onCompletionChanged;
    }

    /** From now on it rejects new requests and finishes those it has, until it starts again. */
    public void startDraining() {
        draining = true;
    }

    /** Its process starts; it does not drain any more. */
    public void onProcessStarted() {
        draining = false;
    }

    public boolean isDraining() {
        return draining;
    }

    /** Multiplies the time that requests take which start from now on; 1: normal. */
    public void setSlowdownFactor(double factor) {
        model.slowdownFactor(factor);
    }

    /** It accepts requests without completing any, or completes them again. */
    public void setHanging(boolean hanging) {
        model.hanging(hanging);
        onCompletionChanged.run();
    }

    /** It fails requests of a class, or of all classes if {@code requestClass} is null. */
    public void setFailing(String requestClass, boolean active) {
        failures.setFailing(requestClass, active);
    }

    /** Whether requests of that class, by its position in the scenario, fail. */
    public boolean failsClass(int requestClass) {
        return failures.affects(requestClass);
    }
}
