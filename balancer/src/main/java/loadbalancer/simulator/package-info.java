/**
 * The routing policy on the simulator's wire. {@link loadbalancer.simulator.SimulatorAdapter} reads
 * batches of events as tab-separated lines, hands each event to the routing policy of the simulated
 * balancer that it concerns, and writes the policy's actions back. {@code WireFrame} is one line,
 * {@code WireTerms} translates the wire's vocabulary to the code's terms, and {@link
 * loadbalancer.simulator.WireFormatException} reports input that breaks the format.
 *
 * <p>Everything here belongs to the thread that calls {@code SimulatorAdapter.run()}. The package
 * may use {@code routing.api} and {@code config}; it must not depend on sockets, the event loop or
 * the implementation of the routing policy, which its caller passes in. It holds no decisions, so
 * that what the simulator measures is what the real balancer decides. A key and a load report that
 * a message lacks are passed on as null, as {@code RoutingPolicy} has it.
 */
package loadbalancer.simulator;
