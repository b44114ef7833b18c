package loadbalancer.testbed.network;

import loadbalancer.testbed.scenario.FaultKind;

/** Thrown when a fault that does not affect links is converted into the effect on a link. */
public final class UnsupportedFaultException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    UnsupportedFaultException(FaultKind kind) {
        super("fault kind " + kind.keyword() + " does not affect links");
    }
}
