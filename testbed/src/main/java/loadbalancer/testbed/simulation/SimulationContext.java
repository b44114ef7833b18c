package loadbalancer.testbed.simulation;

import java.util.function.Consumer;
import loadbalancer.testbed.invariant.RequestInvariants;

/**
 * The objects that all balancers of one simulated run share.
 *
 * @param logListener receives the log lines of the routing policies
 */
record SimulationContext(
        VirtualTimeScheduler scheduler,
        RequestInvariants invariants,
        SimulatedUpstreams upstreams,
        PeerDatagrams datagrams,
        SimulatedClients clients,
        Consumer<String> logListener) {}
