package loadbalancer.testbed.simulation;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.testbed.fault.FaultableDiscoveryAgent;
import loadbalancer.testbed.scenario.Range;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The discovery agent of one balancer in virtual time: how many of the list's changes it knows and
 * has delivered. Stale, silent and denied all delay delivery until the fault ends. Single-threaded.
 */
final class SimulatedDiscoveryAgent implements FaultableDiscoveryAgent {
    private final VirtualTimeScheduler scheduler;
    private final UniformRandomProvider random;
    private final Range delayRangeMs;
    private final EndpointListHistory history;
    private final Consumer<Endpoint> listener;
    private long lastArrivalMicros;
    private long extraDelayMicros;
    private int muteCount;
    // Changes that the agent knows
    private int receivedCount;
    // Of those, changes that it delivered
    private int deliveredCount;

    /**
     * Creates an agent that knows the initial list.
     *
     * @param delayRangeMs range of the delay of a change
     * @param listener is notified of each change when it is delivered to the balancer
     */
    SimulatedDiscoveryAgent(
            VirtualTimeScheduler scheduler,
            UniformRandomProvider random,
            Range delayRangeMs,
            EndpointListHistory history,
            Consumer<Endpoint> listener) {
        this.scheduler = scheduler;
        this.random = random;
        this.delayRangeMs = delayRangeMs;
        this.history = history;
        this.listener = listener;
    }

    /** The list as the agent delivers it. */
    List<Endpoint> endpoints() {
        return history.listAfter(deliveredCount);
    }

    /** The list has changed: the agent learns of it after its delay, in order. */
    void onChange() {
        long delayMicros = Math.round(1e3 * RandomStreams.drawUniform(random, delayRangeMs));
        lastArrivalMicros =
                Math.max(lastArrivalMicros, scheduler.nowMicros() + delayMicros + extraDelayMicros);
        scheduler.schedule(lastArrivalMicros, this::onReceived);
    }

    private void onReceived() {
        receivedCount++;
        deliverPending();
    }

    private void deliverPending() {
        while (muteCount == 0 && deliveredCount < receivedCount) {
            listener.accept(history.change(deliveredCount++));
        }
    }

    @Override
    public void addExtraDelayMicros(long deltaMicros) {
        extraDelayMicros += deltaMicros;
    }

    @Override
    public void setStale(boolean active) {
        setMuted(active);
    }

    @Override
    public void setSilent(boolean active) {
        setMuted(active);
    }

    @Override
    public void setDenied(boolean active) {
        setMuted(active);
    }

    private void setMuted(boolean active) {
        muteCount += active ? 1 : -1;
        deliverPending();
    }
}
