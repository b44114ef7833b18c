package loadbalancer.http;

/**
 * Whether this balancer is ready, draining or stopping: what the readiness check answers and
 * whether responses end their connections. Belongs to the event loop; written by {@link
 * HttpFrontend} alone.
 */
final class ServingState {
    private boolean ready;
    private boolean draining;
    private boolean stopping;

    /** What the readiness check answers. */
    boolean isReady() {
        return ready && !draining && !stopping;
    }

    /** Whether connections are closed after their last pending response. */
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
