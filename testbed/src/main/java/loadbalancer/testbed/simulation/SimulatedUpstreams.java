package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * The upstreams of a simulated run and the network paths from the balancers to them, with the
 * platform's rule on load in slow start. Single-threaded.
 */
final class SimulatedUpstreams {
    /** Time in µs after which a balancer gives up opening a connection. */
    static final long CONNECT_TIMEOUT_MICROS = 150_000;

    // Obsolete callbacks are removed once there are this many queues of callbacks, and some more
    private static final int CALLBACK_QUEUES = 4;
    private static final int ADDITIONAL_CALLBACKS = 64;

    private final VirtualTimeScheduler scheduler;
    private final Scenario scenario;
    private final SimulatedNetwork network;
    private final RequestInvariants invariants;
    private final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private final Map<String, SimulatedUpstream> upstreamsByUid = new HashMap<>();
    private final Map<SimulatedUpstream, List<CrashCallback>> crashCallbacks = new HashMap<>();
    private SlowStartRule slowStartRule = this::crashIfOverBudget;

    private record CrashCallback(Runnable action, BooleanSupplier isObsolete) {}

    /** What happens when an attempt arrives at an upstream. */
    private interface SlowStartRule {
        void onAttempt(int balancer, SimulatedUpstream upstream, long workMicros);
    }

    /** Creates the upstreams of a plan. */
    SimulatedUpstreams(
            WorkloadPlan plan,
            VirtualTimeScheduler scheduler,
            SimulatedNetwork network,
            RequestInvariants invariants) {
        this.scheduler = scheduler;
        this.scenario = plan.scenario();
        this.network = network;
        this.invariants = invariants;
        for (WorkloadPlan.UpstreamSpec spec : plan.upstreams()) {
            SimulatedUpstream upstream = new SimulatedUpstream(scheduler, spec, scenario);
            upstreams.add(upstream);
            upstreamsByUid.put(spec.uid(), upstream);
        }
    }

    /** All upstreams by number, with successors that have not started yet. */
    List<SimulatedUpstream> all() {
        return upstreams;
    }

    SimulatedUpstream byNumber(int number) {
        return upstreams.get(number);
    }

    SimulatedUpstream byUid(String uid) {
        return upstreamsByUid.get(uid);
    }

    /** The work of a new connection's handshake in µs at speed 1. */
    long handshakeWorkMicros() {
        return Math.round(scenario.upstreams().handshakeMs() * 1e3);
    }

    /** Draws the delay of a request in µs, one way. */
    long forwardDelayMicros(int balancer, SimulatedUpstream upstream) {
        return network.forwardDelayMicros(
                balancer, upstream.spec().number(), scheduler.nowMicros());
    }

    /** Draws the delay of a response in µs, one way. */
    long reverseDelayMicros(int balancer, SimulatedUpstream upstream) {
        return network.reverseDelayMicros(
                balancer, upstream.spec().number(), scheduler.nowMicros());
    }

    /** Whether nothing passes between the two in one of the directions. */
    boolean isSilent(int balancer, SimulatedUpstream upstream) {
        return upstream.isSilent() || network.isCut(balancer, upstream.spec().number());
    }

    /** Whether a fault refuses connections between the two. */
    boolean refusesConnections(int balancer, SimulatedUpstream upstream) {
        return network.refusesConnections(balancer, upstream.spec().number());
    }

    // ------------------------------------------------------------ crashes

    /** Runs an action when the upstream crashes, unless it is obsolete by then. */
    void onCrash(SimulatedUpstream upstream, Runnable action, BooleanSupplier isObsolete) {
        List<CrashCallback> callbacks =
                crashCallbacks.computeIfAbsent(upstream, k -> new ArrayList<>());
        callbacks.add(new CrashCallback(action, isObsolete));
        int maxCallbacks =
                CALLBACK_QUEUES * scenario.upstreams().queueCapacity() + ADDITIONAL_CALLBACKS;
        if (callbacks.size() > maxCallbacks) {
            callbacks.removeIf(callback -> callback.isObsolete.getAsBoolean());
        }
    }

    /** Ends the process of an upstream and runs the actions that wait for it. */
    void crash(SimulatedUpstream upstream) {
        upstream.crash();
        List<CrashCallback> callbacks = crashCallbacks.remove(upstream);
        if (callbacks != null) {
            callbacks.stream()
                    .filter(callback -> !callback.isObsolete.getAsBoolean())
                    .forEach(callback -> callback.action.run());
        }
    }

    // ------------------------------------------------------------ slow start

    /** Reports attempts at upstreams in slow start from now on, none of which crashes any more. */
    void observeSlowStart(FleetSimulation.SlowStartListener listener) {
        slowStartRule = (balancer, upstream, workMicros) -> report(upstream, listener);
    }

    /** Work arrives at an upstream, which crashes if that exceeds the budget of its slow start. */
    void checkSlowStartBudget(int balancer, SimulatedUpstream upstream, long workMicros) {
        slowStartRule.onAttempt(balancer, upstream, workMicros);
    }

    private void report(SimulatedUpstream upstream, FleetSimulation.SlowStartListener listener) {
        if (upstream.isInSlowStart()) {
            listener.onAttempt(
                    upstream.spec().number(), scheduler.nowMicros(), upstream.capacity());
        }
    }

    private void crashIfOverBudget(int balancer, SimulatedUpstream upstream, long workMicros) {
        boolean notified =
                invariants.isStartNotified(
                        balancer, upstream.spec().number(), upstream.startedAtMicros());
        if (upstream.exceedsSlowStartBudget(workMicros, notified)) {
            long sinceStartMicros = scheduler.nowMicros() - upstream.startedAtMicros();
            invariants.recordViolation(
                    "cold budget",
                    scheduler.nowMicros(),
                    "s"
                            + upstream.spec().number()
                            + " was pushed over "
                            + sinceStartMicros / 1000
                            + " ms after its start");
            crash(upstream);
        }
    }
}
