package loadbalancer.testbed.scenario;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/**
 * Checks single fields of a scenario. Each check throws {@link InvalidScenarioException} with the
 * location of the field if its value is not allowed. Immutable.
 */
final class FieldChecks {
    // A space or a comma would split a name in headers and in comma-separated settings.
    private static final Pattern PLAIN_NAME = Pattern.compile("[\\w-]+");

    private final String file;

    /** Creates the checks of a file, whose name appears in the messages of exceptions. */
    FieldChecks(String file) {
        this.file = file;
    }

    /** Returns the exception for a field at a location, for example {@code fault[0].at_s}. */
    InvalidScenarioException invalid(String location, String problem) {
        return new InvalidScenarioException(file, location, problem);
    }

    /** Requires a number from {@code min} to {@code max}, both inclusive. */
    void requireBetween(String location, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw invalid(
                    location,
                    formatNumber(value)
                            + " is not between "
                            + formatNumber(min)
                            + " and "
                            + formatNumber(max));
        }
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** Requires one of the allowed keywords. */
    void requireOneOf(String location, String value, Set<String> allowed) {
        if (!allowed.contains(value)) {
            throw invalid(
                    location,
                    "'"
                            + value
                            + "' is not one of "
                            + String.join(", ", allowed.stream().sorted().toList()));
        }
    }

    /** Requires a range of two ascending numbers, neither of which is negative. */
    void requireRange(String location, Range range) {
        if (!range.isWellFormed()) {
            throw invalid(
                    location, "not a range [lower, upper] with 0 <= lower <= upper: " + range);
        }
    }

    /** Returns whether a text consists of ASCII letters, digits, underscores and hyphens only. */
    static boolean isPlainName(String text) {
        return PLAIN_NAME.matcher(text).matches();
    }

    /** Requires plain names, none of which occurs twice. */
    void requireUniqueNames(String location, List<String> names) {
        for (int i = 0; i < names.size(); i++) {
            if (!isPlainName(names.get(i))) {
                throw invalid(
                        location + "[" + i + "].name",
                        "only letters, digits, _ and - are allowed: '" + names.get(i) + "'");
            }
            if (names.indexOf(names.get(i)) < i) {
                throw invalid(
                        location + "[" + i + "].name", "duplicate name: '" + names.get(i) + "'");
            }
        }
    }

    /** Requires a regular expression. */
    void requirePattern(String location, String expression) {
        if (expression == null || expression.isEmpty()) {
            throw invalid(location, "missing: a regular expression");
        }
        try {
            Pattern.compile(expression);
        } catch (PatternSyntaxException e) {
            throw invalid(location, "invalid regular expression: " + e.getDescription());
        }
    }
}
