package loadbalancer.testbed.network;

import loadbalancer.testbed.scenario.FaultKind;

/** A fault was applied to a link whose kind does not affect links. */
public final class UnsupportedFaultException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    UnsupportedFaultException(FaultKind kind) {
        super(kind.keyword() + " does not affect links");
    }
}
