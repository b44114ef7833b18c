package loadbalancer.admin;

/**
 * Operations that the administration interface performs on a balancer. All methods are called on
 * the administration thread and must return without waiting for the balancer's event loop.
 */
public interface AdminOperations {
    /** Returns the metrics that the balancer published last. */
    MetricsSnapshot stats();

    /** Starts draining the balancer; takes effect on its event loop after this method returns. */
    void drain();

    /** Ends draining; takes effect on the event loop after this method returns. */
    void resume();
}
