package loadbalancer.testbed.simulation;

import java.util.List;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.testbed.invariant.ClientAttempt;

/**
 * One balancer in virtual time: the life cycle of its process, and the events that reach its
 * routing policy through {@link PolicyEventLoop} and {@link SimulatedDispatcher}. Single-threaded.
 */
final class SimulatedBalancer {
    private final int number;
    private final VirtualTimeScheduler scheduler;
    private final PolicyEventLoop eventLoop;
    private final SimulatedDispatcher dispatcher;

    /** Creates a balancer that does not run yet. */
    SimulatedBalancer(
            int number, SimulationContext context, SimulatedDiscoveryAgent discoveryAgent) {
        this.number = number;
        this.scheduler = context.scheduler();
        this.eventLoop = new PolicyEventLoop(scheduler);
        this.dispatcher = new SimulatedDispatcher(number, context, eventLoop, discoveryAgent);
    }

    int number() {
        return number;
    }

    /** Whether its process runs or is paused. */
    boolean alive() {
        return eventLoop.isAlive();
    }

    long datagramsSent() {
        return dispatcher.datagramsSent();
    }

    long bytesSent() {
        return dispatcher.bytesSent();
    }

    long connectionsOpened() {
        return dispatcher.connectionsOpened();
    }

    /** Starts a process with a new policy and the endpoint list that was cached for it. */
    void start(RoutingPolicy newPolicy, List<Endpoint> cachedEndpoints) {
        dispatcher.setPolicy(newPolicy);
        eventLoop.start();
        onEndpointList(EndpointListKind.CACHED, cachedEndpoints);
    }

    /** Kills its process: clients that wait for a response see the connection close. */
    void kill() {
        eventLoop.stop();
        dispatcher.closeAll();
    }

    /** Pauses its process, or resumes it. */
    void pause(boolean paused) {
        eventLoop.setPaused(paused);
    }

    /** Discovery delivers the endpoint list or a part of it. */
    void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {
        eventLoop.submit(() -> dispatcher.onEndpointList(kind, endpoints));
    }

    /** A datagram of another balancer arrives. */
    void onPeerMessage(int sender, byte[] payload) {
        eventLoop.submit(() -> dispatcher.onPeerMessage(sender, payload));
    }

    /** A client sends a request. */
    void accept(ClientAttempt clientAttempt) {
        long deadlineMicros = scheduler.nowMicros() + clientAttempt.timeoutMicros();
        eventLoop.submit(() -> dispatcher.accept(clientAttempt, deadlineMicros));
    }

    /** The client of an attempt has disconnected. */
    void onClientDisconnected(ClientAttempt clientAttempt) {
        eventLoop.submit(() -> dispatcher.onClientDisconnected(clientAttempt));
    }
}
