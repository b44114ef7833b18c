package loadbalancer.testbed.endpointmodel;

import java.util.List;
import loadbalancer.testbed.scenario.Scenario;

/** Holds which request classes an upstream currently fails. Confined to the thread of the run. */
public final class InjectedFailures {
    private static final int NO_CLASS = -1;

    private final List<Scenario.RequestClass> classes;
    private boolean allClasses;
    private int failingClass = NO_CLASS;

    /** Creates an instance for a scenario's classes, none of which fails. */
    public InjectedFailures(List<Scenario.RequestClass> classes) {
        this.classes = classes;
    }

    /**
     * Replaces the set of failing classes.
     *
     * @param requestClass name of the class that fails; null for all classes
     * @param active false if no class fails
     */
    public void setFailing(String requestClass, boolean active) {
        allClasses = active && requestClass == null;
        failingClass = NO_CLASS;
        for (int i = 0; active && i < classes.size(); i++) {
            if (classes.get(i).name().equals(requestClass)) {
                failingClass = i;
            }
        }
    }

    /** Returns whether requests of a class, given by its position in the scenario, fail. */
    public boolean affects(int requestClass) {
        return allClasses || failingClass == requestClass;
    }
}
