package loadbalancer.testbed.scenario;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/**
 * Checks of single fields of a scenario. Each throws {@link InvalidScenarioException} with the
 * location of the field if its value is not allowed.
 */
final class FieldChecks {
    // In headers and comma-separated settings a space or comma would split a name
    private static final Pattern PLAIN_NAME = Pattern.compile("[\\w-]+");

    private final String file;

    /** Creates the checks of a file, whose name appears in exceptions. */
    FieldChecks(String file) {
        this.file = file;
    }

    /** The exception for a field at a location, for example {@code fault[0].at_s}. */
    InvalidScenarioException invalid(String location, String problem) {
        return new InvalidScenarioException(file, location, problem);
    }

    /** Requires a number between two others, inclusive. */
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

    /** Requires one of some keywords. */
    void requireOneOf(String location, String value, Set<String> allowed) {
        if (!allowed.contains(value)) {
            throw invalid(
                    location,
                    "'"
                            + value
                            + "' is none of "
                            + String.join(", ", allowed.stream().sorted().toList()));
        }
    }

    /** Requires a range of two numbers in order, neither of which is negative. */
    void requireRange(String location, Range range) {
        if (!range.isWellFormed()) {
            throw invalid(location, "not a range [least, most]: " + range);
        }
    }

    /** Whether a text consists of letters, digits, underscores and hyphens. */
    static boolean isPlainName(String text) {
        return PLAIN_NAME.matcher(text).matches();
    }

    /** Requires plain names, none of which occurs twice. */
    void requireUniqueNames(String location, List<String> names) {
        for (int i = 0; i < names.size(); i++) {
            if (!isPlainName(names.get(i))) {
                throw invalid(
                        location + "[" + i + "].name", "no plain name: '" + names.get(i) + "'");
            }
            if (names.indexOf(names.get(i)) < i) {
                throw invalid(
                        location + "[" + i + "].name",
                        "there is one of that name already: '" + names.get(i) + "'");
            }
        }
    }

    /** Requires a regular expression. */
    void requirePattern(String location, String expression) {
        if (expression == null || expression.isEmpty()) {
            throw invalid(location, "missing");
        }
        try {
            Pattern.compile(expression);
        } catch (PatternSyntaxException e) {
            throw invalid(location, "no regular expression: " + e.getDescription());
        }
    }
}
