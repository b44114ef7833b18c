package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FleetLoadAggregatorTest {
    private static final long SECOND_MICROS = 1_000_000;

    // Of the encoding of rates
    private static final double MAX_ROUNDING_ERROR = 1.0 / 2048;

    @ParameterizedTest
    @ValueSource(
            ints = {1, 16, 17, 34, 100, 200, 333, 400, 800, 1_600, BlockPartition.MAX_BALANCERS})
    void everyBalancerKnowsTheTotalAfterTwoRounds(int balancerCount) {
        SimulatedAggregatorFleet fleet =
                new SimulatedAggregatorFleet(new BlockPartition(balancerCount), 1);
        fleet.run(2 * SECOND_MICROS);
        for (int i = 0; i < balancerCount; i++) {
            FleetLoadAggregator.LoadTotal total = fleet.total(i);
            assertEquals(balancerCount, total.presentCount(), "known to " + i);
            assertTrue(
                    total.ageMicros() <= 22 * SECOND_MICROS / 10,
                    "age " + total.ageMicros() + " at " + i);
        }
        assertTrue(fleet.worstError() <= MAX_ROUNDING_ERROR, "error " + fleet.worstError());
    }

    /**
     * Counted work: datagrams grow with the fleet's logarithm, bytes by 0.6 a round for each
     * balancer.
     */
    @ParameterizedTest
    @CsvSource({"100, 6, 90", "200, 8, 160", "400, 10, 290", "800, 12, 550", "1600, 14, 1050"})
    void roundCostGrowsLogarithmically(
            int balancerCount, int datagramsPerRound, int bytesPerRound) {
        SimulatedAggregatorFleet fleet =
                new SimulatedAggregatorFleet(new BlockPartition(balancerCount), 2);
        fleet.run(10 * SECOND_MICROS);
        int maxDatagrams = Arrays.stream(fleet.datagramsSent).max().getAsInt();
        long maxBytes = Arrays.stream(fleet.bytesSent).max().getAsLong();
        // Blocks differ by one balancer: one may have two receivers in place of one.
        assertTrue(
                maxDatagrams <= 1.5 * 10 * datagramsPerRound,
                maxDatagrams + " datagrams in 10 rounds");
        assertTrue(
                Arrays.stream(fleet.datagramsSent).average().getAsDouble()
                        <= 1.05 * 10 * datagramsPerRound,
                Arrays.stream(fleet.datagramsSent).average().getAsDouble()
                        + " datagrams in 10 rounds, as a mean");
        assertTrue(maxBytes <= 1.5 * 10 * bytesPerRound, maxBytes + " bytes in 10 rounds");
        assertTrue(
                Arrays.stream(fleet.bytesSent).average().getAsDouble() <= 1.05 * 10 * bytesPerRound,
                Arrays.stream(fleet.bytesSent).average().getAsDouble()
                        + " bytes in 10 rounds, as a mean");
        assertTrue(fleet.worstError() <= MAX_ROUNDING_ERROR, "error " + fleet.worstError());
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_600})
    void lossDelaysButDoesNotDistortTotals(int balancerCount) {
        SimulatedAggregatorFleet fleet =
                new SimulatedAggregatorFleet(new BlockPartition(balancerCount), 3);
        fleet.lossProbability = 0.1;
        fleet.duplicateProbability = 0.1;
        fleet.run(3 * SECOND_MICROS);
        double worstError = 0;
        for (int i = 0; i < 10; i++) {
            fleet.run(SECOND_MICROS / 2);
            worstError = Math.max(worstError, fleet.worstError());
        }
        assertTrue(worstError <= 0.1, "error " + worstError);
    }

    @Test
    void survivorsLearnOfMassFailure() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(1_600), 4);
        fleet.run(3 * SECOND_MICROS);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 1_600; i++) {
            fleet.alive[i] = random.nextDouble() >= 0.7;
        }
        fleet.run(FleetLoadAggregator.EXPIRY_MICROS + 2 * SECOND_MICROS);
        assertTrue(fleet.worstError() <= 0.05, "error " + fleet.worstError());
        for (int i = 0; i < 1_600; i++) {
            if (!fleet.alive[i]) {
                fleet.restart(i);
            }
        }
        fleet.run(3 * SECOND_MICROS);
        assertTrue(
                fleet.worstError() <= MAX_ROUNDING_ERROR,
                "error after their restart " + fleet.worstError());
    }

    @Test
    void deadBlocksExpire() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(320), 6);
        fleet.run(3 * SECOND_MICROS);
        Arrays.fill(fleet.alive, 64, 128, false);
        fleet.run(FleetLoadAggregator.EXPIRY_MICROS + SECOND_MICROS);
        for (int i = 0; i < 320; i++) {
            if (fleet.alive[i]) {
                assertEquals(256, fleet.total(i).presentCount(), "known to " + i);
            }
        }
        assertTrue(fleet.worstError() <= MAX_ROUNDING_ERROR, "error " + fleet.worstError());
    }

    /** The receivers of crashed balancers fall to those alive in the same block. */
    @Test
    void survivorsTakeOverReceiversOfTheDead() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(160), 7);
        for (int block = 0; block < 10; block++) {
            Arrays.fill(fleet.alive, 16 * block + 3, 16 * block + 16, false);
        }
        fleet.run(3 * SECOND_MICROS);
        assertEquals(30, fleet.total(0).presentCount());
        assertTrue(fleet.worstError() <= MAX_ROUNDING_ERROR, "error " + fleet.worstError());
    }

    @Test
    void clockSkewOnlyDelaysTotals() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(800), 8);
        SplittableRandom random = new SplittableRandom(9);
        for (int i = 0; i < 800; i++) {
            fleet.clockSkewMicros[i] = random.nextLong(2 * SECOND_MICROS);
        }
        fleet.run(6 * SECOND_MICROS);
        double worstError = 0;
        for (int i = 0; i < 10; i++) {
            fleet.run(SECOND_MICROS / 2);
            worstError = Math.max(worstError, fleet.worstError());
        }
        assertTrue(worstError <= 0.1, "error " + worstError);
    }

    /** A block with an absurd rate counts for at most eight times the median block. */
    @Test
    void implausibleRateIsBounded() {
        SimulatedAggregatorFleet fleet =
                new SimulatedAggregatorFleet(new BlockPartition(1_600), 10);
        fleet.run(2 * SECOND_MICROS);
        long honestRate = fleet.trueRate();
        fleet.rates[700] = 50_000_000;
        fleet.run(3 * SECOND_MICROS);
        double maxRate = honestRate * (1 + 8.0 / 100);
        for (int i = 0; i < 1_600; i++) {
            assertTrue(
                    fleet.total(i).requestsPerSecond() <= maxRate,
                    fleet.total(i).requestsPerSecond() + " at " + i + " of " + honestRate);
        }
    }

    @Test
    void malformedMessageIsIgnoredCompletely() {
        BlockPartition partition = new BlockPartition(100);
        FleetLoadAggregator receiver = new FleetLoadAggregator(20, partition);
        FleetLoadAggregator sender = new FleetLoadAggregator(0, partition);
        sender.ownBlock(SECOND_MICROS, 14, 1_000);
        byte[][] sentPayload = new byte[1][];
        sender.tick(0, balancer -> false, (to, data) -> sentPayload[0] = data);
        byte[] valid = sentPayload[0];
        FleetLoadAggregator.LoadTotal totalBefore = receiver.total(SECOND_MICROS);

        assertEquals(FleetLoadMessage.HEADER_BYTES + FleetLoadMessage.RECORD_BYTES, valid.length);
        byte[] otherFleet = valid.clone();
        otherFleet[2]++;
        assertFalse(receiver.onDatagram(SECOND_MICROS, 0, otherFleet), "fleet of another size");
        byte[] tooManyPresent = valid.clone();
        tooManyPresent[FleetLoadMessage.HEADER_BYTES + 2] = 15;
        assertFalse(
                receiver.onDatagram(SECOND_MICROS, 0, tooManyPresent),
                "more balancers than a block has");
        byte[] unknownBlock = valid.clone();
        unknownBlock[FleetLoadMessage.HEADER_BYTES] = 7;
        assertFalse(receiver.onDatagram(SECOND_MICROS, 0, unknownBlock), "unknown block");
        assertFalse(receiver.onDatagram(SECOND_MICROS, 100, valid), "unknown sender");
        assertFalse(
                receiver.onDatagram(SECOND_MICROS, 0, Arrays.copyOf(valid, valid.length - 1)),
                "truncated");
        assertFalse(
                receiver.onDatagram(SECOND_MICROS, 0, Arrays.copyOf(valid, valid.length + 1)),
                "trailing byte");
        assertFalse(receiver.onDatagram(SECOND_MICROS, 0, new byte[0]), "empty");
        assertEquals(totalBefore, receiver.total(SECOND_MICROS));
        assertTrue(receiver.onDatagram(SECOND_MICROS, 0, valid));
        assertEquals(14, receiver.total(SECOND_MICROS).presentCount());
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 20_000; i++) {
            byte[] noise = new byte[random.nextInt(260)];
            random.nextBytes(noise);
            if (noise.length > 4) {
                noise[0] = FleetLoadMessage.FORMAT;
                noise[1] = 0;
                noise[2] = 100;
                noise[3] =
                        (byte)
                                ((noise.length - FleetLoadMessage.HEADER_BYTES)
                                        / FleetLoadMessage.RECORD_BYTES);
            }
            receiver.onDatagram(SECOND_MICROS, random.nextInt(-1, 101), noise);
            assertTrue(receiver.total(SECOND_MICROS).presentCount() <= 100);
        }
    }

    @Test
    void forwardedRecordKeepsItsAge() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(100), 12);
        fleet.duplicateProbability = 0.5;
        fleet.run(3 * SECOND_MICROS);
        long diedAt = fleet.now;
        Arrays.fill(
                fleet.alive,
                fleet.partition.firstBalancer(1),
                fleet.partition.firstBalancer(2),
                false);
        for (int i = 0; i < 60; i++) {
            fleet.run(SECOND_MICROS / 10);
            for (int member = 0; member < 100; member++) {
                if (fleet.alive[member]
                        && fleet.now - diedAt >= FleetLoadAggregator.EXPIRY_MICROS) {
                    assertFalse(
                            fleet.aggregators.get(member).hasCurrentRecord(fleet.now, 1),
                            member + " at " + (fleet.now - diedAt));
                }
            }
        }
    }
}
