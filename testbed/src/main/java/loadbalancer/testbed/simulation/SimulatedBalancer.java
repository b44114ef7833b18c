package loadbalancer.testbed.simulation;

import java.util.List;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.testbed.invariant.ClientAttempt;

/**
 * One balancer in virtual time: controls the life cycle of its process and submits the events of
 * its routing policy to {@link PolicyEventLoop} and {@link SimulatedDispatcher}. Used only by the
 * thread that runs the simulation.
 */
final class SimulatedBalancer {
    private final int number;
    private final VirtualTimeScheduler scheduler;
    private final PolicyEventLoop eventLoop;
    private final SimulatedDispatcher dispatcher;

    /** Creates a balancer whose process is not running yet. */
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

    /** Returns whether the process is running or paused. */
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

    /** Starts a process with a new routing policy and the cached endpoint list. */
    void start(RoutingPolicy newPolicy, List<Endpoint> cachedEndpoints) {
        dispatcher.setPolicy(newPolicy);
        eventLoop.start();
        onEndpointList(EndpointListKind.CACHED, cachedEndpoints);
    }

    /** Kills the process. Clients that wait for a response see their connection close. */
    void kill() {
        eventLoop.stop();
        dispatcher.closeAll();
    }

    /** Pauses or resumes the process. */
    void pause(boolean paused) {
        eventLoop.setPaused(paused);
    }

    /** Handles the endpoint list or a part of it from discovery. */
    void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {
        eventLoop.submit(() -> dispatcher.onEndpointList(kind, endpoints));
    }

    /** Handles a datagram from another balancer. */
    void onPeerMessage(int sender, byte[] payload) {
        eventLoop.submit(() -> dispatcher.onPeerMessage(sender, payload));
    }

    /** Accepts a request from a client. */
    void accept(ClientAttempt clientAttempt) {
        long deadlineMicros = scheduler.nowMicros() + clientAttempt.timeoutMicros();
        eventLoop.submit(() -> dispatcher.accept(clientAttempt, deadlineMicros));
    }

    /** Handles the disconnection of the client of an attempt. */
    void onClientDisconnected(ClientAttempt clientAttempt) {
        eventLoop.submit(() -> dispatcher.onClientDisconnected(clientAttempt));
    }
}
