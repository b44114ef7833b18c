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
 * Holds the upstreams of a simulated run and the network paths from the balancers to them, and
 * applies the platform's rule on load in slow start. Used only by the thread that runs the
 * simulation.
 */
final class SimulatedUpstreams {
    /** The time in µs after which a balancer gives up opening a connection. */
    static final long CONNECT_TIMEOUT_MICROS = 150_000;

    // Obsolete crash callbacks of an upstream are removed once there are more callbacks than this
    // number per place in its queue, plus the extra ones.
    private static final int CALLBACKS_PER_QUEUE_PLACE = 4;
    private static final int EXTRA_CALLBACKS = 64;

    private final VirtualTimeScheduler scheduler;
    private final Scenario scenario;
    private final SimulatedNetwork network;
    private final RequestInvariants invariants;
    private final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private final Map<String, SimulatedUpstream> upstreamsByUid = new HashMap<>();
    private final Map<SimulatedUpstream, List<CrashCallback>> crashCallbacks = new HashMap<>();
    private SlowStartRule slowStartRule = this::crashIfOverBudget;

    private record CrashCallback(Runnable action, BooleanSupplier isObsolete) {}

    /** The rule that is applied when an attempt arrives at an upstream. */
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

    /** Returns all upstreams by number, including successors that have not started yet. */
    List<SimulatedUpstream> all() {
        return upstreams;
    }

    SimulatedUpstream byNumber(int number) {
        return upstreams.get(number);
    }

    SimulatedUpstream byUid(String uid) {
        return upstreamsByUid.get(uid);
    }

    /** Returns the work of the handshake of a new connection in µs at speed 1. */
    long handshakeWorkMicros() {
        return Math.round(scenario.upstreams().handshakeMs() * 1e3);
    }

    /** Draws the one-way delay of a request in µs. */
    long forwardDelayMicros(int balancer, SimulatedUpstream upstream) {
        return network.forwardDelayMicros(
                balancer, upstream.spec().number(), scheduler.nowMicros());
    }

    /** Draws the one-way delay of a response in µs. */
    long reverseDelayMicros(int balancer, SimulatedUpstream upstream) {
        return network.reverseDelayMicros(
                balancer, upstream.spec().number(), scheduler.nowMicros());
    }

    /** Returns whether the upstream has vanished or the path is cut in one direction at least. */
    boolean isSilent(int balancer, SimulatedUpstream upstream) {
        return upstream.isSilent() || network.isCut(balancer, upstream.spec().number());
    }

    /** Returns whether a fault refuses connections from the balancer to the upstream. */
    boolean refusesConnections(int balancer, SimulatedUpstream upstream) {
        return network.refusesConnections(balancer, upstream.spec().number());
    }

    /** Runs an action when the upstream crashes, unless the action is obsolete by then. */
    void onCrash(SimulatedUpstream upstream, Runnable action, BooleanSupplier isObsolete) {
        List<CrashCallback> callbacks =
                crashCallbacks.computeIfAbsent(upstream, k -> new ArrayList<>());
        callbacks.add(new CrashCallback(action, isObsolete));
        int maxCallbacks =
                CALLBACKS_PER_QUEUE_PLACE * scenario.upstreams().queueCapacity() + EXTRA_CALLBACKS;
        if (callbacks.size() > maxCallbacks) {
            callbacks.removeIf(callback -> callback.isObsolete.getAsBoolean());
        }
    }

    /** Ends the process of an upstream and runs its crash callbacks. */
    void crash(SimulatedUpstream upstream) {
        upstream.crash();
        List<CrashCallback> callbacks = crashCallbacks.remove(upstream);
        if (callbacks != null) {
            callbacks.stream()
                    .filter(callback -> !callback.isObsolete.getAsBoolean())
                    .forEach(callback -> callback.action.run());
        }
    }

    /**
     * Reports attempts at upstreams in slow start to the listener from now on. Exceeding the
     * slow-start budget no longer crashes an upstream then.
     */
    void observeSlowStart(FleetSimulation.SlowStartListener listener) {
        slowStartRule = (balancer, upstream, workMicros) -> reportSlowStart(upstream, listener);
    }

    /**
     * Applies the slow-start rule to an arriving attempt. Unless slow start is only observed, the
     * upstream crashes if the work exceeds the budget of its slow start.
     */
    void applySlowStartRule(int balancer, SimulatedUpstream upstream, long workMicros) {
        slowStartRule.onAttempt(balancer, upstream, workMicros);
    }

    private void reportSlowStart(
            SimulatedUpstream upstream, FleetSimulation.SlowStartListener listener) {
        if (upstream.isInSlowStart()) {
            listener.onAttempt(
                    upstream.spec().number(), scheduler.nowMicros(), upstream.capacity());
        }
    }

    private void crashIfOverBudget(int balancer, SimulatedUpstream upstream, long workMicros) {
        boolean notified =
                invariants.isStartNotified(
                        balancer, upstream.spec().number(), upstream.startedAtMicros());
        if (upstream.recordSlowStartWork(workMicros, notified)) {
            long sinceStartMicros = scheduler.nowMicros() - upstream.startedAtMicros();
            invariants.recordViolation(
                    "cold budget",
                    scheduler.nowMicros(),
                    "s"
                            + upstream.spec().number()
                            + " exceeded its slow-start budget "
                            + sinceStartMicros / 1000
                            + " ms after its start");
            crash(upstream);
        }
    }
}
