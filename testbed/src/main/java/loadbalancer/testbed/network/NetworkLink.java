package loadbalancer.testbed.network;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.scenario.Range;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One direction of the network between two parties, with the faults that are present. Faults may
 * overlap: their delays add up, their probabilities apply one after the other. Times are µs of the
 * run. Confined to the thread that plays the run.
 */
public final class NetworkLink {
    // Added to what a TCP connection carries, in place of a loss.
    private static final long RETRANSMISSION_DELAY_MICROS = 200_000;

    private final UniformRandomProvider random;
    private final long baseDelayMicros;
    private final List<LinkFault> faults = new ArrayList<>(2);
    // When the bytes sent so far have passed at the present bandwidth.
    private long freeAtMicros;

    /**
     * The effect of one fault on a link; 0 and false change nothing.
     *
     * @param cut whether nothing passes
     * @param lossProbability of each datagram; TCP pays a retransmission instead
     * @param delayMicros added delay in µs; of the copy or of the datagram that is overtaken, if
     *     datagrams are duplicated or reordered
     * @param jitterMicros upper bound of a random delay in µs
     * @param duplicateProbability of each datagram
     * @param reorderProbability of each datagram, to be overtaken by later ones
     * @param bytesPerSecond bandwidth; 0: unlimited
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

        private static LinkFault lossAndJitter(double lossProbability, long jitterMicros) {
            return new LinkFault(false, lossProbability, 0, jitterMicros, 0, 0, 0);
        }

        private static LinkFault delay(long delayMicros, long jitterMicros) {
            return new LinkFault(false, 0, delayMicros, jitterMicros, 0, 0, 0);
        }

        private static LinkFault duplication(double probability, long copyDelayMicros) {
            return new LinkFault(false, 0, copyDelayMicros, 0, probability, 0, 0);
        }

        private static LinkFault reordering(double probability, long delayMicros) {
            return new LinkFault(false, 0, delayMicros, 0, 0, probability, 0);
        }

        private static LinkFault bandwidth(double bytesPerSecond) {
            return new LinkFault(false, 0, 0, 0, 0, 0, bytesPerSecond);
        }

        /**
         * The effect of a fault of the plan on each direction that it affects.
         *
         * @throws UnsupportedFaultException if the fault's kind does not affect links
         */
        public static LinkFault of(WorkloadPlan.Fault fault) {
            Scenario.FaultSpec spec = fault.spec();
            double amount = spec.amount() == null ? 0 : spec.amount();
            long delayMicros = Math.round(1e3 * spec.delayMs());
            return switch (fault.kind()) {
                case CUT -> cutOff();
                case LOSS -> lossAndJitter(amount, 0);
                case DELAY -> delay(delayMicros, Math.round(1e3 * spec.jitterMs()));
                case REPEAT -> duplication(amount, delayMicros);
                case REORDER -> reordering(amount, delayMicros);
                case THIN -> bandwidth(amount);
                default -> throw new UnsupportedFaultException(fault.kind());
            };
        }
    }

    /** Creates a link without faults; {@code baseDelayMicros} is its delay in µs. */
    public NetworkLink(UniformRandomProvider random, long baseDelayMicros) {
        this.random = random;
        this.baseDelayMicros = baseDelayMicros;
    }

    /**
     * Creates the link from one balancer to another, with the scenario's delay, jitter and loss.
     */
    public static NetworkLink betweenPeers(
            UniformRandomProvider random, Scenario.Network settings) {
        Range delayRangeMs = settings.peerDelayMs();
        long jitterMicros = Math.round((delayRangeMs.upper() - delayRangeMs.lower()) * 1e3);
        NetworkLink link = new NetworkLink(random, Math.round(delayRangeMs.lower() * 1e3));
        link.setFault(LinkFault.lossAndJitter(settings.peerLoss(), jitterMicros), true);
        return link;
    }

    /** Adds a fault, or removes one that was added. */
    public void setFault(LinkFault fault, boolean active) {
        if (active) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
    }

    /** Whether bytes pass at once, without faults or delay. */
    public boolean isTransparent() {
        return faults.isEmpty() && baseDelayMicros == 0;
    }

    /** Whether nothing passes. Called for each attempt, so without streams. */
    public boolean isCut() {
        for (LinkFault fault : faults) {
            if (fault.cut) {
                return true;
            }
        }
        return false;
    }

    private boolean occurs(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Draws whether a datagram is lost. Called for each datagram, so without streams. */
    public boolean dropsDatagram() {
        for (LinkFault fault : faults) {
            if (fault.cut || occurs(fault.lossProbability)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Draws the delays in µs of a datagram and of its duplicates; one that is to be overtaken is
     * delayed further.
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
            if (!datagramsOnly) {
                delayMicros += fault.delayMicros;
            }
            if (fault.jitterMicros > 0) {
                delayMicros += (long) (random.nextDouble() * fault.jitterMicros);
            }
        }
        return delayMicros;
    }

    /** Draws the delay in µs of that many bytes of a TCP connection. */
    public long tcpDelayMicros(long nowMicros, int bytes) {
        long delayMicros = sampleDelayMicros() + transmissionDelayMicros(nowMicros, bytes);
        for (LinkFault fault : faults) {
            if (occurs(fault.lossProbability)) {
                delayMicros += RETRANSMISSION_DELAY_MICROS;
            }
        }
        return delayMicros;
    }

    /**
     * Returns the time in µs until that many bytes have passed at the smallest bandwidth of the
     * present faults, behind the bytes that were sent before; 0 without such a fault.
     */
    public long transmissionDelayMicros(long nowMicros, int bytes) {
        double bytesPerSecond = 0;
        for (LinkFault fault : faults) {
            boolean narrower = bytesPerSecond == 0 || fault.bytesPerSecond < bytesPerSecond;
            if (fault.bytesPerSecond > 0 && narrower) {
                bytesPerSecond = fault.bytesPerSecond;
            }
        }
        if (bytesPerSecond == 0) {
            return 0;
        }
        freeAtMicros = Math.max(freeAtMicros, nowMicros) + (long) (bytes / bytesPerSecond * 1e6);
        return freeAtMicros - nowMicros;
    }
}
