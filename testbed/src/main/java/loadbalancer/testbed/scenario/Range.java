package loadbalancer.testbed.scenario;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.util.List;

/**
 * A range of numbers, written as {@code [lower, upper]}. A range that was read may be malformed
 * until the scenario is validated.
 *
 * @param bounds the two numbers, once validated
 */
public record Range(List<Double> bounds) {
    private static final int LOWER = 0;
    private static final int UPPER = 1;

    public Range {
        bounds = List.copyOf(bounds);
    }

    /** Creates a range of the numbers from {@code lower} to {@code upper}. */
    public static Range of(double lower, double upper) {
        return new Range(List.of(lower, upper));
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static Range fromBounds(List<Double> bounds) {
        return new Range(bounds);
    }

    /** Whether it has two bounds in order, neither of which is negative. */
    boolean isWellFormed() {
        return bounds.size() == 2 && lower() >= 0 && upper() >= lower();
    }

    /** The smallest number in the range. */
    public double lower() {
        return bounds.get(LOWER);
    }

    /** The largest number in the range. */
    public double upper() {
        return bounds.get(UPPER);
    }

    @Override
    public String toString() {
        return bounds.toString();
    }
}
