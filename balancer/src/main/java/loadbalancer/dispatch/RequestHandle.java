package loadbalancer.dispatch;

/** By which the client side reports on a request that it has submitted; event loop thread only. */
public interface RequestHandle {
    /** The client has disconnected before the end of its response. */
    void onClientDisconnected();

    /** All of the body of a request that was submitted before its end has arrived. */
    void onBodyComplete();
}
