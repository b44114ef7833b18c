package loadbalancer.dispatch;

/** Receives the client side's events of a submitted request. Event loop thread only. */
public interface RequestHandle {
    /** Called when the client has disconnected before the end of its response. */
    void onClientDisconnected();

    /**
     * Called when the body is complete, if the request was submitted while its body was arriving.
     */
    void onBodyComplete();
}
