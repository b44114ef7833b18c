/**
 * Invariants that are checked during a run. {@link
 * loadbalancer.testbed.invariant.RequestInvariants} checks the platform's rules on each request
 * from the events that emulated or simulated clients and upstreams report. A {@link
 * loadbalancer.testbed.invariant.RunInvariant} checks a property over time from process events and
 * the balancers' log lines, whose texts its regular expressions depend on. Both report {@link
 * loadbalancer.testbed.invariant.Violation}s. All classes are confined to the thread that executes
 * the run. The package must not depend on the packages that execute runs ({@code emulation}, {@code
 * process}, {@code simulation}).
 */
package loadbalancer.testbed.invariant;
