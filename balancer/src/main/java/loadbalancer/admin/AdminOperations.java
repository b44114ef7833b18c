package loadbalancer.admin;

/** What the door leads to; called on the door's thread. */
public interface AdminOperations {
    MetricsSnapshot stats();

    void drain();

    void resume();
}
