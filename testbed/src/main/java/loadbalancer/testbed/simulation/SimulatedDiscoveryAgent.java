package loadbalancer.testbed.simulation;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.routing.api.Endpoint;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery's agent of one balancer in simulated time: how much of the list's changes it has heard,
 * and the ways in which news don't come.
 */
final class SimulatedDiscoveryAgent {
    private final VirtualTimeScheduler scheduler;
    private final UniformRandomProvider random;
    private final List<Double> delayRangeMs;
    private final EndpointListHistory history;
    private final Consumer<Endpoint> listener;
    private long lastArrivalMicros;
    private long extraDelayMicros;
    private int mute;
    // Changes that have come to the agent
    private int receivedCount;
    // Of those, what it has passed on
    private int deliveredCount;

    /**
     * {@code listener} hears each change when the balancer does; {@code delayRangeMs}: least and
     * most.
     */
    SimulatedDiscoveryAgent(
            VirtualTimeScheduler scheduler,
            UniformRandomProvider random,
            List<Double> delayRangeMs,
            EndpointListHistory history,
            Consumer<Endpoint> listener) {
        this.scheduler = scheduler;
        this.random = random;
        this.delayRangeMs = delayRangeMs;
        this.history = history;
        this.listener = listener;
    }

    /** The list as the agent has it. */
    List<Endpoint> endpoints() {
        return history.listAfter(deliveredCount);
    }

    /** Something has changed: the agent hears of it after its delay, and in order. */
    void onChange() {
        long delayMicros =
                Math.round(
                        1e3
                                * (delayRangeMs.get(0)
                                        + random.nextDouble()
                                                * (delayRangeMs.get(1) - delayRangeMs.get(0))));
        lastArrivalMicros =
                Math.max(lastArrivalMicros, scheduler.nowMicros() + delayMicros + extraDelayMicros);
        scheduler.schedule(lastArrivalMicros, this::onReceived);
    }

    private void onReceived() {
        receivedCount++;
        deliverPending();
    }

    private void deliverPending() {
        while (mute == 0 && deliveredCount < receivedCount) {
            listener.accept(history.change(deliveredCount++));
        }
    }

    /** News take that much longer, or (negative) no longer. */
    void extraDelayMicros(long deltaMicros) {
        extraDelayMicros += deltaMicros;
    }

    void mute(boolean muted) {
        mute += muted ? 1 : -1;
        deliverPending();
    }
}
