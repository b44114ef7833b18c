package loadbalancer.routing.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates a fleet of {@link FleetLoadAggregator}s in virtual time. A seeded random generator
 * delays, loses and duplicates their datagrams.
 */
final class SimulatedAggregatorFleet {
    static final long TICK_MICROS = 50_000;
    private static final long MAX_DELAY_MICROS = 2_000;

    final BlockPartition partition;
    final List<FleetLoadAggregator> aggregators = new ArrayList<>();
    final int[] rates;
    final boolean[] alive;
    // Offset of each member's clock ahead of the simulated time.
    final long[] clockSkewMicros;
    // Totals sent by each member.
    final int[] datagramsSent;
    final long[] bytesSent;
    double lossProbability;
    double duplicateProbability;
    long now = 1_000_000_000_000L;
    private final SplittableRandom random;
    private final PriorityQueue<Datagram> inTransit = new PriorityQueue<>();
    private long datagramSequence;

    private record Datagram(long deliverAt, long sequence, int from, int to, byte[] payload)
            implements Comparable<Datagram> {
        @Override
        public int compareTo(Datagram other) {
            return deliverAt != other.deliverAt
                    ? Long.compare(deliverAt, other.deliverAt)
                    : Long.compare(sequence, other.sequence);
        }
    }

    SimulatedAggregatorFleet(BlockPartition partition, long seed) {
        this.partition = partition;
        this.random = new SplittableRandom(seed);
        int balancerCount = partition.balancerCount();
        rates = new int[balancerCount];
        alive = new boolean[balancerCount];
        clockSkewMicros = new long[balancerCount];
        datagramsSent = new int[balancerCount];
        bytesSent = new long[balancerCount];
        for (int i = 0; i < balancerCount; i++) {
            aggregators.add(new FleetLoadAggregator(i, partition));
            rates[i] = 1 + random.nextInt(120);
            alive[i] = true;
        }
    }

    /** Restarts a member with a new aggregator without records. */
    void restart(int member) {
        aggregators.set(member, new FleetLoadAggregator(member, partition));
        alive[member] = true;
    }

    void run(long durationMicros) {
        for (long end = now + durationMicros; now < end; now += TICK_MICROS) {
            while (!inTransit.isEmpty() && inTransit.peek().deliverAt <= now) {
                Datagram datagram = inTransit.poll();
                if (alive[datagram.to]) {
                    aggregators
                            .get(datagram.to)
                            .onDatagram(localTime(datagram.to), datagram.from, datagram.payload);
                }
            }
            for (int i = 0; i < aggregators.size(); i++) {
                if (alive[i]) {
                    tickMember(i);
                }
            }
        }
    }

    private void tickMember(int memberIndex) {
        int block = partition.blockOf(memberIndex);
        int presentCount = 0;
        long rate = 0;
        for (int peer : partition.balancersOf(block).toArray()) {
            presentCount += alive[peer] ? 1 : 0;
            rate += alive[peer] ? rates[peer] : 0;
        }
        FleetLoadAggregator aggregator = aggregators.get(memberIndex);
        aggregator.setOwnBlockRecord(localTime(memberIndex), presentCount, rate);
        aggregator.tick(
                localTime(memberIndex),
                peer -> alive[peer],
                (receiver, payload) -> {
                    datagramsSent[memberIndex]++;
                    bytesSent[memberIndex] += payload.length;
                    for (int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
                            copies > 0;
                            copies--) {
                        if (random.nextDouble() >= lossProbability) {
                            inTransit.add(
                                    new Datagram(
                                            now + random.nextLong(MAX_DELAY_MICROS),
                                            datagramSequence++,
                                            memberIndex,
                                            receiver,
                                            payload));
                        }
                    }
                });
    }

    long localTime(int member) {
        return now + clockSkewMicros[member];
    }

    FleetLoadAggregator.LoadTotal total(int member) {
        return aggregators.get(member).total(localTime(member));
    }

    long trueRate() {
        long sum = 0;
        for (int i = 0; i < rates.length; i++) {
            sum += alive[i] ? rates[i] : 0;
        }
        return sum;
    }

    int aliveCount() {
        int count = 0;
        for (boolean isAlive : alive) {
            count += isAlive ? 1 : 0;
        }
        return count;
    }

    /** Returns the maximum relative error of the total rate over all live members. */
    double maxRelativeError() {
        double maxError = 0;
        for (int i = 0; i < rates.length; i++) {
            maxError =
                    alive[i]
                            ? Math.max(
                                    maxError,
                                    Math.abs(total(i).requestsPerSecond() / trueRate() - 1))
                            : maxError;
        }
        return maxError;
    }
}
