package loadbalancer.testbed.endpointmodel;

import java.util.List;
import loadbalancer.testbed.scenario.Scenario;

/** Which request classes an upstream fails at present. Confined to the thread of the run. */
public final class InjectedFailures {
    private static final int NO_CLASS = -1;

    private final List<Scenario.RequestClass> classes;
    private boolean allClasses;
    private int failingClass = NO_CLASS;

    /** Creates it for a scenario's classes, none of which fails. */
    public InjectedFailures(List<Scenario.RequestClass> classes) {
        this.classes = classes;
    }

    /** A class, or all if {@code requestClass} is null, fails from now on; else none does. */
    public void setFailing(String requestClass, boolean active) {
        allClasses = active && requestClass == null;
        failingClass = NO_CLASS;
        for (int i = 0; active && i < classes.size(); i++) {
            if (classes.get(i).name().equals(requestClass)) {
                failingClass = i;
            }
        }
    }

    /** Whether requests of that class, by its position in the scenario, fail. */
    public boolean affects(int requestClass) {
        return allClasses || failingClass == requestClass;
    }
}
