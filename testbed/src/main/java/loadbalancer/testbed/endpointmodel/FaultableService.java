package loadbalancer.testbed.endpointmodel;

import loadbalancer.testbed.scenario.Scenario;

/**
 * Applies the faults that change how an upstream serves requests: draining, hanging, slowdown and
 * failing requests. They act on its {@link EndpointModel}, independent of the transport of the
 * requests. Confined to the thread of the run.
 */
public final class FaultableService {
    private final EndpointModel model;
    private final InjectedFailures failures;
    private final Runnable onCompletionChanged;
    private boolean draining;

    /**
     * Creates a service without faults.
     *
     * @param onCompletionChanged runs when a fault may have changed {@link
     *     EndpointModel#nextCompletionMicros}
     */
    public FaultableService(EndpointModel model, Scenario scenario, Runnable onCompletionChanged) {
        this.model = model;
        this.failures = new InjectedFailures(scenario.classes());
        this.onCompletionChanged = onCompletionChanged;
    }

    /** Rejects new requests and finishes accepted ones until the process starts again. */
    public void startDraining() {
        draining = true;
    }

    /** Handles the start of the upstream's process, which ends draining. */
    public void onProcessStarted() {
        draining = false;
    }

    /** Returns whether the upstream is draining. */
    public boolean isDraining() {
        return draining;
    }

    /** Sets the factor of the service time of requests that start from now on; 1 is normal. */
    public void setSlowdownFactor(double factor) {
        model.setSlowdownFactor(factor);
    }

    /** Sets whether the upstream accepts requests without completing any. */
    public void setHanging(boolean hanging) {
        model.setHanging(hanging);
        onCompletionChanged.run();
    }

    /**
     * Starts or ends the failure of requests of a class.
     *
     * @param requestClass name of the class; null for all classes
     */
    public void setFailing(String requestClass, boolean active) {
        failures.setFailing(requestClass, active);
    }

    /** Returns whether requests of a class, given by its position in the scenario, fail. */
    public boolean failsClass(int requestClass) {
        return failures.affects(requestClass);
    }
}
