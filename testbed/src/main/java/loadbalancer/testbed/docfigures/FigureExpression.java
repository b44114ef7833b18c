package loadbalancer.testbed.docfigures;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Evaluates an arithmetic expression over metrics: numbers, keys, {@code + - * /} and parentheses.
 * A key consists of parts separated by dots and begins with a letter. The key of a metric in
 * another file is preceded by that file's name and a colon, as in {@code serve-before:s40.cpu}.
 * Operators must have spaces around them because file names contain hyphens. The text is parsed and
 * evaluated in one pass by recursive descent. Not thread-safe.
 */
final class FigureExpression {
    private static final Pattern TOKEN =
            Pattern.compile(
                    "\\s*(?:(\\d[\\d.]*(?:[eE]-?\\d+)?)|((?:[a-z][a-z0-9-]*:)?[A-Za-z][\\w.]*)|([-+*/()]))");

    /** Returns the values of metrics by key. */
    interface MetricLookup {
        /**
         * Returns the value of a key.
         *
         * @throws InvalidFigureException if the key has no value
         */
        double lookUp(String key);
    }

    private final List<String> tokens = new ArrayList<>();
    private final MetricLookup metrics;
    private int position;

    private FigureExpression(String text, MetricLookup metrics) {
        this.metrics = metrics;
        Matcher tokenMatcher = TOKEN.matcher(text.strip());
        while (tokenMatcher.lookingAt()) {
            tokens.add(tokenMatcher.group().strip());
            tokenMatcher.region(tokenMatcher.end(), tokenMatcher.regionEnd());
        }
        if (tokenMatcher.regionStart() < tokenMatcher.regionEnd() || tokens.isEmpty()) {
            throw new InvalidFigureException("not an expression: '" + text + "'");
        }
    }

    /**
     * Returns the value of an expression.
     *
     * @throws InvalidFigureException if the text is not an expression, or a key has no value
     */
    static double evaluate(String text, MetricLookup metrics) {
        FigureExpression expression = new FigureExpression(text, metrics);
        double value = expression.parseSum();
        if (expression.position < expression.tokens.size()) {
            throw new InvalidFigureException("not an expression: '" + text + "'");
        }
        return value;
    }

    private boolean acceptToken(String token) {
        boolean matches = position < tokens.size() && tokens.get(position).equals(token);
        position += matches ? 1 : 0;
        return matches;
    }

    private static double parseNumber(String token) {
        try {
            return Double.parseDouble(token);
        } catch (NumberFormatException e) {
            throw new InvalidFigureException(e.getMessage());
        }
    }

    private double parseSum() {
        double value = parseProduct();
        while (position < tokens.size()) {
            if (acceptToken("+")) {
                value += parseProduct();
            } else if (acceptToken("-")) {
                value -= parseProduct();
            } else {
                break;
            }
        }
        return value;
    }

    private double parseProduct() {
        double value = parseFactor();
        while (position < tokens.size()) {
            if (acceptToken("*")) {
                value *= parseFactor();
            } else if (acceptToken("/")) {
                value /= parseFactor();
            } else {
                break;
            }
        }
        return value;
    }

    private double parseFactor() {
        if (acceptToken("(")) {
            double value = parseSum();
            if (!acceptToken(")")) {
                throw new InvalidFigureException("missing closing parenthesis");
            }
            return value;
        }
        String token = position < tokens.size() ? tokens.get(position++) : "";
        if (token.matches("\\d.*")) {
            return parseNumber(token);
        }
        if (token.matches("[A-Za-z].*")) {
            return metrics.lookUp(token);
        }
        throw new InvalidFigureException("expected a number or a key, found '" + token + "'");
    }
}
