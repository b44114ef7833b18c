package loadbalancer.testbed.scenario;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.util.List;

/**
 * A range of numbers, written as {@code [lower, upper]}. A range that was read from a file may be
 * malformed until the scenario is validated. Immutable.
 *
 * @param bounds the lower and the upper bound; until validation, any list of numbers
 */
public record Range(List<Double> bounds) {
    private static final int LOWER = 0;
    private static final int UPPER = 1;

    public Range {
        bounds = List.copyOf(bounds);
    }

    /** Creates the range from {@code lower} to {@code upper}, both inclusive. */
    public static Range of(double lower, double upper) {
        return new Range(List.of(lower, upper));
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static Range fromBounds(List<Double> bounds) {
        return new Range(bounds);
    }

    /** Returns whether it has two ascending bounds, neither of which is negative. */
    boolean isWellFormed() {
        return bounds.size() == 2 && lower() >= 0 && upper() >= lower();
    }

    /** Returns the smallest number in the range. */
    public double lower() {
        return bounds.get(LOWER);
    }

    /** Returns the largest number in the range. */
    public double upper() {
        return bounds.get(UPPER);
    }

    @Override
    public String toString() {
        return bounds.toString();
    }
}
