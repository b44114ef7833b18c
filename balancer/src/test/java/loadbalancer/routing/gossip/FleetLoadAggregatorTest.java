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

    // Maximum relative error of encoded rates.
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
        assertTrue(
                fleet.maxRelativeError() <= MAX_ROUNDING_ERROR,
                "error " + fleet.maxRelativeError());
    }

    /**
     * Counts datagrams and bytes sent per round: datagrams grow with the logarithm of the fleet
     * size, and bytes by 0.6 per round for each balancer.
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
        // Block sizes differ by one balancer, so some balancers have two receivers instead of one.
        assertTrue(
                maxDatagrams <= 1.5 * 10 * datagramsPerRound,
                maxDatagrams + " datagrams in 10 rounds");
        assertTrue(
                Arrays.stream(fleet.datagramsSent).average().getAsDouble()
                        <= 1.05 * 10 * datagramsPerRound,
                Arrays.stream(fleet.datagramsSent).average().getAsDouble()
                        + " datagrams in 10 rounds on average");
        assertTrue(maxBytes <= 1.5 * 10 * bytesPerRound, maxBytes + " bytes in 10 rounds");
        assertTrue(
                Arrays.stream(fleet.bytesSent).average().getAsDouble() <= 1.05 * 10 * bytesPerRound,
                Arrays.stream(fleet.bytesSent).average().getAsDouble()
                        + " bytes in 10 rounds on average");
        assertTrue(
                fleet.maxRelativeError() <= MAX_ROUNDING_ERROR,
                "error " + fleet.maxRelativeError());
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_600})
    void totalsStayAccurateDespiteLossAndDuplication(int balancerCount) {
        SimulatedAggregatorFleet fleet =
                new SimulatedAggregatorFleet(new BlockPartition(balancerCount), 3);
        fleet.lossProbability = 0.1;
        fleet.duplicateProbability = 0.1;
        fleet.run(3 * SECOND_MICROS);
        double maxRelativeError = 0;
        for (int i = 0; i < 10; i++) {
            fleet.run(SECOND_MICROS / 2);
            maxRelativeError = Math.max(maxRelativeError, fleet.maxRelativeError());
        }
        assertTrue(maxRelativeError <= 0.1, "error " + maxRelativeError);
    }

    @Test
    void survivorsDetectMassFailure() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(1_600), 4);
        fleet.run(3 * SECOND_MICROS);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 1_600; i++) {
            fleet.alive[i] = random.nextDouble() >= 0.7;
        }
        fleet.run(FleetLoadAggregator.EXPIRY_MICROS + 2 * SECOND_MICROS);
        assertTrue(fleet.maxRelativeError() <= 0.05, "error " + fleet.maxRelativeError());
        for (int i = 0; i < 1_600; i++) {
            if (!fleet.alive[i]) {
                fleet.restart(i);
            }
        }
        fleet.run(3 * SECOND_MICROS);
        assertTrue(
                fleet.maxRelativeError() <= MAX_ROUNDING_ERROR,
                "error after the restart " + fleet.maxRelativeError());
    }

    @Test
    void recordsOfCrashedBlocksExpire() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(320), 6);
        fleet.run(3 * SECOND_MICROS);
        Arrays.fill(fleet.alive, 64, 128, false);
        fleet.run(FleetLoadAggregator.EXPIRY_MICROS + SECOND_MICROS);
        for (int i = 0; i < 320; i++) {
            if (fleet.alive[i]) {
                assertEquals(256, fleet.total(i).presentCount(), "known to " + i);
            }
        }
        assertTrue(
                fleet.maxRelativeError() <= MAX_ROUNDING_ERROR,
                "error " + fleet.maxRelativeError());
    }

    /** Live balancers take over the receivers of the crashed balancers in their block. */
    @Test
    void survivorsTakeOverReceiversOfCrashedBalancers() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(160), 7);
        for (int block = 0; block < 10; block++) {
            Arrays.fill(fleet.alive, 16 * block + 3, 16 * block + 16, false);
        }
        fleet.run(3 * SECOND_MICROS);
        assertEquals(30, fleet.total(0).presentCount());
        assertTrue(
                fleet.maxRelativeError() <= MAX_ROUNDING_ERROR,
                "error " + fleet.maxRelativeError());
    }

    @Test
    void totalsStayAccurateDespiteClockSkew() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(800), 8);
        SplittableRandom random = new SplittableRandom(9);
        for (int i = 0; i < 800; i++) {
            fleet.clockSkewMicros[i] = random.nextLong(2 * SECOND_MICROS);
        }
        fleet.run(6 * SECOND_MICROS);
        double maxRelativeError = 0;
        for (int i = 0; i < 10; i++) {
            fleet.run(SECOND_MICROS / 2);
            maxRelativeError = Math.max(maxRelativeError, fleet.maxRelativeError());
        }
        assertTrue(maxRelativeError <= 0.1, "error " + maxRelativeError);
    }

    /** A block with an implausible rate counts for at most eight times the median block's rate. */
    @Test
    void implausibleRateIsBounded() {
        SimulatedAggregatorFleet fleet =
                new SimulatedAggregatorFleet(new BlockPartition(1_600), 10);
        fleet.run(2 * SECOND_MICROS);
        long rateBefore = fleet.trueRate();
        fleet.rates[700] = 50_000_000;
        fleet.run(3 * SECOND_MICROS);
        double maxRate = rateBefore * (1 + 8.0 / 100);
        for (int i = 0; i < 1_600; i++) {
            assertTrue(
                    fleet.total(i).requestsPerSecond() <= maxRate,
                    fleet.total(i).requestsPerSecond()
                            + " at "
                            + i
                            + ", rate before "
                            + rateBefore);
        }
    }

    @Test
    void malformedDatagramHasNoEffect() {
        BlockPartition partition = new BlockPartition(100);
        FleetLoadAggregator receiver = new FleetLoadAggregator(20, partition);
        FleetLoadAggregator sender = new FleetLoadAggregator(0, partition);
        sender.setOwnBlockRecord(SECOND_MICROS, 14, 1_000);
        byte[][] sentDatagram = new byte[1][];
        sender.tick(0, balancer -> false, (to, data) -> sentDatagram[0] = data);
        byte[] valid = sentDatagram[0];
        FleetLoadAggregator.LoadTotal totalBefore = receiver.total(SECOND_MICROS);

        assertEquals(FleetLoadMessage.HEADER_BYTES + FleetLoadMessage.RECORD_BYTES, valid.length);
        byte[] otherFleet = valid.clone();
        otherFleet[2]++;
        assertFalse(receiver.onDatagram(SECOND_MICROS, 0, otherFleet), "fleet of another size");
        byte[] tooManyPresent = valid.clone();
        tooManyPresent[FleetLoadMessage.HEADER_BYTES + 2] = 15;
        assertFalse(
                receiver.onDatagram(SECOND_MICROS, 0, tooManyPresent),
                "more balancers than the block has");
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
            byte[] randomDatagram = new byte[random.nextInt(260)];
            random.nextBytes(randomDatagram);
            if (randomDatagram.length > 4) {
                randomDatagram[0] = FleetLoadMessage.FORMAT;
                randomDatagram[1] = 0;
                randomDatagram[2] = 100;
                randomDatagram[3] =
                        (byte)
                                ((randomDatagram.length - FleetLoadMessage.HEADER_BYTES)
                                        / FleetLoadMessage.RECORD_BYTES);
            }
            receiver.onDatagram(SECOND_MICROS, random.nextInt(-1, 101), randomDatagram);
            assertTrue(receiver.total(SECOND_MICROS).presentCount() <= 100);
        }
    }

    @Test
    void forwardedRecordKeepsItsAge() {
        SimulatedAggregatorFleet fleet = new SimulatedAggregatorFleet(new BlockPartition(100), 12);
        fleet.duplicateProbability = 0.5;
        fleet.run(3 * SECOND_MICROS);
        long crashedAtMicros = fleet.now;
        Arrays.fill(
                fleet.alive,
                fleet.partition.firstBalancer(1),
                fleet.partition.firstBalancer(2),
                false);
        for (int i = 0; i < 60; i++) {
            fleet.run(SECOND_MICROS / 10);
            for (int member = 0; member < 100; member++) {
                if (fleet.alive[member]
                        && fleet.now - crashedAtMicros >= FleetLoadAggregator.EXPIRY_MICROS) {
                    assertFalse(
                            fleet.aggregators.get(member).hasCurrentRecord(fleet.now, 1),
                            member + " at " + (fleet.now - crashedAtMicros));
                }
            }
        }
    }
}
