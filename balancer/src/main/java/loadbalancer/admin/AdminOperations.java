package loadbalancer.admin;

/**
 * What the administration interface can do to a balancer. All methods are called on the
 * administration thread and must return without waiting for the balancer's event loop.
 */
public interface AdminOperations {
    /** The metrics that the balancer published last. */
    MetricsSnapshot stats();

    /** Starts to drain the balancer; takes effect on its event loop, after this method returns. */
    void drain();

    /** Ends draining; takes effect on its event loop, after this method returns. */
    void resume();
}
