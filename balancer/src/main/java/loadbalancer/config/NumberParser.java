package loadbalancer.config;

/** Parses numbers from settings and from the simulator's wire. Stateless. */
public final class NumberParser {
    private NumberParser() {}

    /**
     * Parses a decimal integer.
     *
     * @throws InvalidValueException if {@code text} is not an integer or exceeds 64 bits
     */
    public static long parseLong(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new InvalidValueException("a whole number", text);
        }
    }

    /**
     * Parses a floating-point number that is neither infinite nor NaN.
     *
     * @throws InvalidValueException if {@code text} is not such a number
     */
    public static double parseFiniteDouble(String text) {
        double number;
        try {
            number = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new InvalidValueException("a number", text);
        }
        if (!Double.isFinite(number)) {
            throw new InvalidValueException("a finite number", text);
        }
        return number;
    }
}
