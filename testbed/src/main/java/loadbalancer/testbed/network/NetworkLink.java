package loadbalancer.testbed.network;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One direction between two parties, and what is wrong with it now. Faults add and take back their
 * parts, so that several may hold at one time. Times are µs.
 */
public final class NetworkLink {
    // What loss costs a TCP connection
    private static final long RETRANSMISSION_DELAY_MICROS = 200_000;

    private final UniformRandomProvider random;
    private final long baseDelayMicros;
    private final List<LinkFault> faults = new ArrayList<>(2);
    // When a thin way has passed on all it took
    private long freeAtMicros;

    /**
     * What a fault does to a way; 0 and false leave it as it is. {@code bytesPerSecond}: bytes a
     * second.
     */
    public record LinkFault(
            boolean cut,
            double lossProbability,
            long delayMicros,
            long jitterMicros,
            double duplicateProbability,
            double reorderProbability,
            double bytesPerSecond) {
        /** Nothing passes. */
        public static LinkFault cutOff() {
            return new LinkFault(true, 0, 0, 0, 0, 0, 0);
        }

        /** What a fault of a path does to each direction that it is about. */
        public static LinkFault of(WorkloadPlan.Fault fault) {
            Scenario.FaultSpec spec = fault.spec();
            double amount = spec.amount() == null ? 0 : spec.amount();
            long addedDelayMicros = Math.round(1e3 * spec.delayMs());
            return switch (fault.kind()) {
                case CUT -> cutOff();
                case LOSS -> new LinkFault(false, amount, 0, 0, 0, 0, 0);
                case DELAY ->
                        new LinkFault(
                                false,
                                0,
                                addedDelayMicros,
                                Math.round(1e3 * spec.jitterMs()),
                                0,
                                0,
                                0);
                case REPEAT -> new LinkFault(false, 0, addedDelayMicros, 0, amount, 0, 0);
                case REORDER -> new LinkFault(false, 0, addedDelayMicros, 0, 0, amount, 0);
                case THIN -> new LinkFault(false, 0, 0, 0, 0, 0, amount);
                default ->
                        throw new IllegalArgumentException("no trouble of a path: " + fault.kind());
            };
        }
    }

    /** {@code baseDelayMicros}: its delay when nothing is wrong. */
    public NetworkLink(UniformRandomProvider random, long baseDelayMicros) {
        this.random = random;
        this.baseDelayMicros = baseDelayMicros;
    }

    /** A trouble begins or ends. */
    public void setFault(LinkFault fault, boolean active) {
        if (active) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
    }

    /** Whether nothing is wrong, and it takes no time. */
    public boolean isTransparent() {
        return faults.isEmpty() && baseDelayMicros == 0;
    }

    /** Whether nothing passes. */
    public boolean isCut() {
        for (LinkFault fault : faults) {
            // Asked for each attempt: no stream
            if (fault.cut) {
                return true;
            }
        }
        return false;
    }

    private boolean occurs(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Whether a datagram is lost. */
    public boolean dropsDatagram() {
        for (LinkFault fault : faults) {
            // Asked for each datagram: no stream
            if (fault.cut || occurs(fault.lossProbability)) {
                return true;
            }
        }
        return false;
    }

    /**
     * The delays of a datagram's copies; a copy that is to be passed by later ones waits for
     * longer.
     */
    public List<Long> datagramDelaysMicros() {
        List<Long> delaysMicros = new ArrayList<>(2);
        long delayMicros = sampleDelayMicros();
        for (LinkFault fault : faults) {
            if (occurs(fault.duplicateProbability)) {
                delaysMicros.add(delayMicros + Math.max(1, fault.delayMicros));
            }
            if (occurs(fault.reorderProbability)) {
                delayMicros += fault.delayMicros;
            }
        }
        delaysMicros.add(0, delayMicros);
        return delaysMicros;
    }

    private long sampleDelayMicros() {
        long delayMicros = baseDelayMicros;
        for (LinkFault fault : faults) {
            boolean datagramsOnly = fault.duplicateProbability > 0 || fault.reorderProbability > 0;
            delayMicros +=
                    (datagramsOnly ? 0 : fault.delayMicros)
                            + (fault.jitterMicros > 0
                                    ? (long) (random.nextDouble() * fault.jitterMicros)
                                    : 0);
        }
        return delayMicros;
    }

    /** The delay of so many bytes of a TCP connection. */
    public long tcpDelayMicros(long nowMicros, int bytes) {
        long delayMicros = sampleDelayMicros() + transmissionDelayMicros(nowMicros, bytes);
        for (LinkFault fault : faults) {
            delayMicros += occurs(fault.lossProbability) ? RETRANSMISSION_DELAY_MICROS : 0;
        }
        return delayMicros;
    }

    /** What a thin way keeps so many bytes waiting, behind what it has taken already. */
    public long transmissionDelayMicros(long nowMicros, int bytes) {
        double bytesPerSecond = 0;
        for (LinkFault fault : faults) {
            bytesPerSecond =
                    fault.bytesPerSecond > 0
                                    && (bytesPerSecond == 0
                                            || fault.bytesPerSecond < bytesPerSecond)
                            ? fault.bytesPerSecond
                            : bytesPerSecond;
        }
        if (bytesPerSecond == 0) {
            return 0;
        }
        freeAtMicros = Math.max(freeAtMicros, nowMicros) + (long) (bytes / bytesPerSecond * 1e6);
        return freeAtMicros - nowMicros;
    }
}
