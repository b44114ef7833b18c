package loadbalancer.http;

/**
 * Records whether this balancer is ready, draining or stopping. Determines the result of the
 * readiness check and whether connections are closed after their responses. Confined to the event
 * loop; only {@link HttpFrontend} changes it.
 */
final class ServingState {
    private boolean ready;
    private boolean draining;
    private boolean stopping;

    /** Returns whether the readiness check succeeds. */
    boolean isReady() {
        return ready && !draining && !stopping;
    }

    /** Returns whether connections are closed after their last pending response. */
    boolean endsConnections() {
        return stopping || draining;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isStopping() {
        return stopping;
    }

    void setReady() {
        ready = true;
    }

    void setDraining(boolean draining) {
        this.draining = draining;
    }

    void setStopping() {
        stopping = true;
    }
}
