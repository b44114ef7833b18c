package junctionhead.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Counted work of membership at growing sizes, while nothing happens: the same for any number of
 * members.
 */
class MembershipWorkTest {
    private static final int[] SIZES = {50, 100, 200, 400};
    // Of the largest to the smallest; counted: 1.00
    private static final double SLOPE_MOST = 1.05;
    // A second and member; counted: 394
    private static final double BYTES_MOST = 420;

    @Test
    void costsTheSameWhateverTheNumberOfMembers() throws IOException {
        for (String figure :
                new String[] {
                    "sent.datagramsPerSecond",
                    "sent.bytesPerSecond",
                    "received.datagramsPerSecond",
                    "received.bytesPerSecond"
                }) {
            Map<Integer, Double> mean = new TreeMap<>();
            for (int n : SIZES) {
                mean.put(n, figures(n).get(figure + ".mean"));
            }
            double least = mean.get(SIZES[0]);
            for (Map.Entry<Integer, Double> of : mean.entrySet()) {
                assertTrue(of.getValue() <= SLOPE_MOST * least, figure + " by members: " + mean);
            }
        }
    }

    @Test
    void noMemberBearsMuchMoreThanTheOthers() throws IOException {
        for (int n : SIZES) {
            most(n, "sent.bytesPerSecond.mean", BYTES_MOST);
            most(n, "sent.bytesPerSecond.most", 1.1 * BYTES_MOST);
            // Pages of 254 bytes go to scattered members: some get more of them than others
            // (counted: 572).
            most(n, "received.bytesPerSecond.most", 1.5 * BYTES_MOST);
        }
    }

    private static void most(int members, String figure, double most) throws IOException {
        double counted = figures(members).get(figure);
        assertTrue(counted <= most, members + " members: " + figure + " " + counted);
    }

    private static final Map<Integer, Map<String, Double>> PLAYED = new TreeMap<>();

    private static Map<String, Double> figures(int members) throws IOException {
        if (!PLAYED.containsKey(members)) {
            PLAYED.put(
                    members,
                    Trials.play(members, 1, 0, Set.of(Part.MEMBERSHIP), Condition.QUIET, 6, 8));
        }
        return PLAYED.get(members);
    }
}
