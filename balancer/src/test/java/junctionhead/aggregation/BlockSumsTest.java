package junctionhead.aggregation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BlockSumsTest {
    private static final long S = 1_000_000;

    // Shortened rates lose up to a part in 2,048.
    private static final double ROUNDING = 1.0 / 2048;

    @ParameterizedTest
    @ValueSource(ints = {1, 16, 17, 34, 100, 200, 333, 400, 800, 1_600, Blocks.BALANCERS_MOST})
    void afterTwoRoundsEachKnowsTheSumOverAll(int balancers) {
        Fleet fleet = new Fleet(new Blocks(balancers), 1);
        fleet.run(2 * S);
        for (int i = 0; i < balancers; i++) {
            BlockSums.Total total = fleet.total(i);
            assertEquals(balancers, total.present(), "known to " + i);
            assertTrue(total.age() <= 22 * S / 10, "age " + total.age() + " at " + i);
        }
        assertTrue(fleet.worstError() <= ROUNDING, "error " + fleet.worstError());
    }

    /**
     * Counted work: datagrams grow with the fleet's logarithm, bytes by 0.6 a round for each
     * balancer.
     */
    @ParameterizedTest
    @CsvSource({"100, 6, 90", "200, 8, 160", "400, 10, 290", "800, 12, 550", "1600, 14, 1050"})
    void aRoundCostsFewDatagramsWhateverTheFleet(int balancers, int datagrams, int bytes) {
        Fleet fleet = new Fleet(new Blocks(balancers), 2);
        fleet.run(10 * S);
        int most = Arrays.stream(fleet.sent).max().getAsInt();
        long mostBytes = Arrays.stream(fleet.bytes).max().getAsLong();
        // Blocks differ by one balancer: one may tell two in place of one.
        assertTrue(most <= 1.5 * 10 * datagrams, most + " datagrams in 10 rounds");
        assertTrue(
                Arrays.stream(fleet.sent).average().getAsDouble() <= 1.05 * 10 * datagrams,
                Arrays.stream(fleet.sent).average().getAsDouble()
                        + " datagrams in 10 rounds, as a mean");
        assertTrue(mostBytes <= 1.5 * 10 * bytes, mostBytes + " bytes in 10 rounds");
        assertTrue(
                Arrays.stream(fleet.bytes).average().getAsDouble() <= 1.05 * 10 * bytes,
                Arrays.stream(fleet.bytes).average().getAsDouble()
                        + " bytes in 10 rounds, as a mean");
        assertTrue(fleet.worstError() <= ROUNDING, "error " + fleet.worstError());
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_600})
    void withOneDatagramOfTenLostSumsAreWholeButOlder(int balancers) {
        Fleet fleet = new Fleet(new Blocks(balancers), 3);
        fleet.loss = 0.1;
        fleet.twice = 0.1;
        fleet.run(3 * S);
        double worst = 0;
        for (int i = 0; i < 10; i++) {
            fleet.run(S / 2);
            worst = Math.max(worst, fleet.worstError());
        }
        assertTrue(worst <= 0.1, "error " + worst);
    }

    @Test
    void withSevenOfTenKilledTheOthersKnowItSoon() {
        Fleet fleet = new Fleet(new Blocks(1_600), 4);
        fleet.run(3 * S);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 1_600; i++) {
            fleet.alive[i] = random.nextDouble() >= 0.7;
        }
        fleet.run(BlockSums.FORGET + 2 * S);
        assertTrue(fleet.worstError() <= 0.05, "error " + fleet.worstError());
        for (int i = 0; i < 1_600; i++) {
            if (!fleet.alive[i]) {
                fleet.restart(i);
            }
        }
        fleet.run(3 * S);
        assertTrue(
                fleet.worstError() <= ROUNDING, "error after their return " + fleet.worstError());
    }

    @Test
    void wholeBlocksThatDieAreForgotten() {
        Fleet fleet = new Fleet(new Blocks(320), 6);
        fleet.run(3 * S);
        Arrays.fill(fleet.alive, 64, 128, false);
        fleet.run(BlockSums.FORGET + S);
        for (int i = 0; i < 320; i++) {
            if (fleet.alive[i]) {
                assertEquals(256, fleet.total(i).present(), "known to " + i);
            }
        }
        assertTrue(fleet.worstError() <= ROUNDING, "error " + fleet.worstError());
    }

    /** Whoever has died, its part falls to those of its block that live: none is told by nobody. */
    @Test
    void theLivingShareOutWhomTheyTell() {
        Fleet fleet = new Fleet(new Blocks(160), 7);
        for (int block = 0; block < 10; block++) {
            Arrays.fill(fleet.alive, 16 * block + 3, 16 * block + 16, false);
        }
        fleet.run(3 * S);
        assertEquals(30, fleet.total(0).present());
        assertTrue(fleet.worstError() <= ROUNDING, "error " + fleet.worstError());
    }

    @Test
    void clocksThatDisagreeMakeSumsOlderNotWrong() {
        Fleet fleet = new Fleet(new Blocks(800), 8);
        SplittableRandom random = new SplittableRandom(9);
        for (int i = 0; i < 800; i++) {
            fleet.skew[i] = random.nextLong(2 * S);
        }
        fleet.run(6 * S);
        double worst = 0;
        for (int i = 0; i < 10; i++) {
            fleet.run(S / 2);
            worst = Math.max(worst, fleet.worstError());
        }
        assertTrue(worst <= 0.1, "error " + worst);
    }

    /** One that tells of absurd rates is worth no more than eight of the middle blocks. */
    @Test
    void oneThatTalksNonsenseIsBounded() {
        Fleet fleet = new Fleet(new Blocks(1_600), 10);
        fleet.run(2 * S);
        long honest = fleet.trueRate();
        fleet.rates[700] = 50_000_000;
        fleet.run(3 * S);
        double most = honest * (1 + 8.0 / 100);
        for (int i = 0; i < 1_600; i++) {
            assertTrue(
                    fleet.total(i).rate() <= most,
                    fleet.total(i).rate() + " at " + i + " of " + honest);
        }
    }

    @Test
    void whatIsNoMessageIsPassedOverWhole() {
        Blocks blocks = new Blocks(100);
        BlockSums reader = new BlockSums(20, blocks);
        BlockSums teller = new BlockSums(0, blocks);
        teller.own(S, 14, 1_000);
        byte[][] told = new byte[1][];
        teller.tick(0, m -> false, (to, data) -> told[0] = data);
        byte[] good = told[0];
        BlockSums.Total before = reader.total(S);

        assertEquals(BlockSums.HEAD + BlockSums.RECORD, good.length);
        byte[] otherFleet = good.clone();
        otherFleet[2]++;
        assertFalse(reader.heard(S, 0, otherFleet), "of a fleet of another size");
        byte[] crowd = good.clone();
        crowd[BlockSums.HEAD + 2] = 15;
        assertFalse(reader.heard(S, 0, crowd), "more balancers than a block has");
        byte[] nowhere = good.clone();
        nowhere[BlockSums.HEAD] = 7;
        assertFalse(reader.heard(S, 0, nowhere), "a block that is none");
        assertFalse(reader.heard(S, 100, good), "from nobody");
        assertFalse(reader.heard(S, 0, Arrays.copyOf(good, good.length - 1)), "cut short");
        assertFalse(
                reader.heard(S, 0, Arrays.copyOf(good, good.length + 1)),
                "with something behind it");
        assertFalse(reader.heard(S, 0, new byte[0]), "empty");
        assertEquals(before, reader.total(S));
        assertTrue(reader.heard(S, 0, good));
        assertEquals(14, reader.total(S).present());
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 20_000; i++) {
            byte[] noise = new byte[random.nextInt(260)];
            random.nextBytes(noise);
            if (noise.length > 4) {
                noise[0] = BlockSums.FORMAT;
                noise[1] = 0;
                noise[2] = 100;
                noise[3] = (byte) ((noise.length - BlockSums.HEAD) / BlockSums.RECORD);
            }
            reader.heard(S, random.nextInt(-1, 101), noise);
            assertTrue(reader.total(S).present() <= 100);
        }
    }

    @Test
    void noRecordGrowsYoungerOnItsWay() {
        Fleet fleet = new Fleet(new Blocks(100), 12);
        fleet.twice = 0.5;
        fleet.run(3 * S);
        long died = fleet.now;
        Arrays.fill(fleet.alive, fleet.blocks.first(1), fleet.blocks.first(2), false);
        for (int i = 0; i < 60; i++) {
            fleet.run(S / 10);
            for (int m = 0; m < 100; m++) {
                if (fleet.alive[m] && fleet.now - died >= BlockSums.FORGET) {
                    assertFalse(
                            fleet.members.get(m).knows(fleet.now, 1),
                            m + " at " + (fleet.now - died));
                }
            }
        }
    }

    @Test
    void blocksShareOutAllBalancers() {
        for (int balancers = 1; balancers <= Blocks.BALANCERS_MOST; balancers++) {
            Blocks blocks = new Blocks(balancers);
            int next = 0;
            for (int block = 0; block < blocks.count(); block++) {
                assertEquals(next, blocks.first(block));
                assertTrue(blocks.size(block) >= 1 && blocks.size(block) <= Blocks.SIZE);
                for (int i = 0; i < blocks.size(block); i++) {
                    assertEquals(block, blocks.of(next++));
                }
            }
            assertEquals(balancers, next);
        }
    }

    @Test
    void sizesPastTheLimitAreRefusedByName() {
        IllegalArgumentException refused =
                assertThrows(
                        IllegalArgumentException.class,
                        () -> new Blocks(Blocks.BALANCERS_MOST + 1));
        assertTrue(refused.getMessage().contains("1824"), refused.getMessage());
        assertThrows(IllegalArgumentException.class, () -> new Blocks(0));
    }

    @Test
    void ratesAreShortenedToAPartInTwoThousand() {
        SplittableRandom random = new SplittableRandom(13);
        for (int i = 0; i < 10_000; i++) {
            int rate = random.nextInt(1 << random.nextInt(1, 28));
            int back = BlockSums.lengthen(BlockSums.shorten(rate));
            assertTrue(
                    back <= rate && rate - back <= rate * ROUNDING, rate + " came back as " + back);
        }
        assertEquals(4095 << 15, BlockSums.lengthen(BlockSums.shorten(Integer.MAX_VALUE)));
    }
}
