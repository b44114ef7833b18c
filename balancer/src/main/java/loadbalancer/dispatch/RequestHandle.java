package loadbalancer.dispatch;

/** What the client's side tells of a request that it has handed over. */
public interface RequestHandle {
    /** The client has left. */
    void onClientDisconnected();

    /** The whole of its body has come, where it was handed over before. */
    void onBodyComplete();
}
