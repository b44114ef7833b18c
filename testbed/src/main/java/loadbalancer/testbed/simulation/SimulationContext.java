package loadbalancer.testbed.simulation;

import java.util.function.Consumer;
import loadbalancer.testbed.invariant.RequestInvariants;

/**
 * What the balancers of one simulated run share.
 *
 * @param logListener gets the log lines of the routing policies
 */
record SimulationContext(
        VirtualTimeScheduler scheduler,
        RequestInvariants invariants,
        SimulatedUpstreams upstreams,
        PeerDatagrams datagrams,
        SimulatedClients clients,
        Consumer<String> logListener) {}
