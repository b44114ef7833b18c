package loadbalancer.testbed.network;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.scenario.Range;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Computes the delays and losses in one direction of the network between two parties, with the
 * faults that are active. Faults may overlap: their delays add up, and their probabilities apply
 * one after the other. Times are µs since the start of the run. Confined to the thread that
 * executes the run.
 */
public final class NetworkLink {
    // Delay of TCP bytes where a datagram would be lost.
    private static final long RETRANSMISSION_DELAY_MICROS = 200_000;

    private final UniformRandomProvider random;
    private final long baseDelayMicros;
    private final List<LinkFault> faults = new ArrayList<>(2);
    // Time at which all bytes sent so far have been transmitted at the limited bandwidth.
    private long transmissionEndMicros;

    /**
     * Holds the effect of one fault on a link. A component that is 0 or false has no effect.
     *
     * @param cut whether the link passes nothing
     * @param lossProbability probability that a datagram is lost; TCP bytes get a retransmission
     *     delay instead
     * @param delayMicros added delay in µs; a fault that duplicates or reorders datagrams delays
     *     only the copy or the reordered datagram
     * @param jitterMicros upper bound of an additional random delay in µs
     * @param duplicateProbability probability that a datagram is duplicated
     * @param reorderProbability probability that a datagram is delayed so that later ones can
     *     overtake it
     * @param bytesPerSecond bandwidth; 0 means unlimited
     */
    public record LinkFault(
            boolean cut,
            double lossProbability,
            long delayMicros,
            long jitterMicros,
            double duplicateProbability,
            double reorderProbability,
            double bytesPerSecond) {
        /** Returns a fault that lets nothing pass. */
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
         * Returns the effect of a planned fault on each direction that it affects.
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

    /** Creates a link without faults that delays everything by {@code baseDelayMicros} µs. */
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

    /** Adds a fault if {@code active}, otherwise removes one that was added before. */
    public void setFault(LinkFault fault, boolean active) {
        if (active) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
    }

    /** Returns whether bytes pass immediately, because there are no faults and no delay. */
    public boolean isTransparent() {
        return faults.isEmpty() && baseDelayMicros == 0;
    }

    /** Returns whether nothing passes. Avoids streams because it is called for each attempt. */
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

    /**
     * Decides at random whether a datagram is lost. Avoids streams because it is called for each
     * datagram.
     */
    public boolean sampleDatagramLoss() {
        for (LinkFault fault : faults) {
            if (fault.cut || occurs(fault.lossProbability)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Samples the delays in µs of a datagram and of its duplicates. A datagram that later ones may
     * overtake is delayed further.
     */
    public List<Long> sampleDatagramDelaysMicros() {
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

    /** Samples the delay in µs of a number of bytes that are sent now on a TCP connection. */
    public long sampleTcpDelayMicros(long nowMicros, int bytes) {
        long delayMicros = sampleDelayMicros() + transmissionDelayMicros(nowMicros, bytes);
        for (LinkFault fault : faults) {
            if (occurs(fault.lossProbability)) {
                delayMicros += RETRANSMISSION_DELAY_MICROS;
            }
        }
        return delayMicros;
    }

    /**
     * Returns the time in µs until a number of bytes have been transmitted at the smallest
     * bandwidth of the active faults, after all bytes that were sent before, and counts them as
     * sent. Returns 0 if no fault limits the bandwidth.
     */
    public long transmissionDelayMicros(long nowMicros, int bytes) {
        double bytesPerSecond = 0;
        for (LinkFault fault : faults) {
            boolean slower = bytesPerSecond == 0 || fault.bytesPerSecond < bytesPerSecond;
            if (fault.bytesPerSecond > 0 && slower) {
                bytesPerSecond = fault.bytesPerSecond;
            }
        }
        if (bytesPerSecond == 0) {
            return 0;
        }
        transmissionEndMicros =
                Math.max(transmissionEndMicros, nowMicros) + (long) (bytes / bytesPerSecond * 1e6);
        return transmissionEndMicros - nowMicros;
    }
}
