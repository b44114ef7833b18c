/**
 * Adapter between the routing policy and the simulator's wire protocol. {@link
 * loadbalancer.simulator.SimulatorAdapter} reads batches of events as tab-separated lines, passes
 * each event to the routing policy of the simulated balancer that it concerns, and writes the
 * policy's actions back. A {@code WireFrame} is one line of input, {@code WireTerms} maps terms of
 * the protocol to constants, and {@link loadbalancer.simulator.WireFormatException} reports
 * malformed input.
 *
 * <p>All types are confined to the thread that calls {@code SimulatorAdapter.run()}. The package
 * may use {@code routing.api} and {@code config}. It must not depend on sockets, the event loop or
 * the implementation of the routing policy, which its caller passes in. It makes no decisions, so
 * that the simulator measures the decisions of the real balancer. A key or a load report that is
 * absent from a message is passed on as null, as {@code RoutingPolicy} defines.
 */
package loadbalancer.simulator;
