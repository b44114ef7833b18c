/**
 * What must hold in a run. {@link loadbalancer.testbed.invariant.RequestInvariants} checks the
 * platform's rules on each request from the observations of emulated or simulated parties; a {@link
 * loadbalancer.testbed.invariant.RunInvariant} checks a property over time from process events and
 * the balancers' log lines, whose texts its regular expressions depend on. Both end as {@link
 * loadbalancer.testbed.invariant.Violation}s. Everything is confined to the thread that plays the
 * run. Must not depend on how the run is played ({@code emulation}, {@code process}, {@code
 * simulation}).
 */
package loadbalancer.testbed.invariant;
