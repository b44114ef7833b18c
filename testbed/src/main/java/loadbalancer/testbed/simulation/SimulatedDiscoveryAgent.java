package loadbalancer.testbed.simulation;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.testbed.fault.FaultableDiscoveryAgent;
import loadbalancer.testbed.scenario.Range;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The discovery agent of one balancer in virtual time: tracks how many changes of the endpoint list
 * it has received and delivered. The faults stale, silent and deny all delay delivery until the
 * fault ends. Used only by the thread that runs the simulation.
 */
final class SimulatedDiscoveryAgent implements FaultableDiscoveryAgent {
    private final VirtualTimeScheduler scheduler;
    private final UniformRandomProvider random;
    private final Range delayRangeMs;
    private final EndpointListHistory history;
    private final Consumer<Endpoint> listener;
    private long lastReceiptMicros;
    private long extraDelayMicros;
    private int activeMutingFaults;
    // Number of changes that the agent has received.
    private int receivedCount;
    // Number of received changes that the agent has delivered to its balancer.
    private int deliveredCount;

    /**
     * Creates an agent that has the initial list.
     *
     * @param delayRangeMs range of the delay in ms after which the agent receives a change
     * @param listener receives each change that is delivered to the balancer
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

    /** Returns the endpoint list with all changes that the agent has delivered. */
    List<Endpoint> endpoints() {
        return history.listAfter(deliveredCount);
    }

    /**
     * Handles a change of the endpoint list: the agent receives changes in order, after a delay.
     */
    void onChange() {
        long delayMicros = Math.round(1e3 * RandomStreams.drawUniform(random, delayRangeMs));
        lastReceiptMicros =
                Math.max(lastReceiptMicros, scheduler.nowMicros() + delayMicros + extraDelayMicros);
        scheduler.schedule(lastReceiptMicros, this::onChangeReceived);
    }

    private void onChangeReceived() {
        receivedCount++;
        deliverPending();
    }

    private void deliverPending() {
        while (activeMutingFaults == 0 && deliveredCount < receivedCount) {
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
    public void setRefusing(boolean active) {
        setMuted(active);
    }

    private void setMuted(boolean active) {
        activeMutingFaults += active ? 1 : -1;
        deliverPending();
    }
}
