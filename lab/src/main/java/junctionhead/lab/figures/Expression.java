package junctionhead.lab.figures;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Arithmetic over figures: numbers, keys, {@code + - * /} and parentheses. A key is dotted and
 * begins with a letter; one of another file has that file's name before it and a colon, as {@code
 * serve-before:s40.cpu}. An operator stands between spaces, as file names hold hyphens.
 */
final class Expression {
    private static final Pattern TOKEN =
            Pattern.compile(
                    "\\s*(?:(\\d[\\d.]*(?:[eE]-?\\d+)?)|((?:[a-z][a-z0-9-]*:)?[A-Za-z][\\w.]*)|([-+*/()]))");

    /** What a key stands for; throws IllegalArgumentException where there is no such figure. */
    interface Figures {
        double of(String key);
    }

    private final List<String> tokens = new ArrayList<>();
    private final Figures figures;
    private int at;

    private Expression(String text, Figures figures) {
        this.figures = figures;
        Matcher token = TOKEN.matcher(text.strip());
        while (token.lookingAt()) {
            tokens.add(token.group().strip());
            token.region(token.end(), token.regionEnd());
        }
        if (token.regionStart() < token.regionEnd() || tokens.isEmpty()) {
            throw new IllegalArgumentException("no expression: '" + text + "'");
        }
    }

    /**
     * Its value.
     *
     * @throws IllegalArgumentException where it is no expression, or a figure is missing, with what
     *     is wrong
     */
    static double value(String text, Figures figures) {
        Expression e = new Expression(text, figures);
        double value = e.sum();
        if (e.at < e.tokens.size()) {
            throw new IllegalArgumentException("no expression: '" + text + "'");
        }
        return value;
    }

    private boolean take(String token) {
        boolean is = at < tokens.size() && tokens.get(at).equals(token);
        at += is ? 1 : 0;
        return is;
    }

    private double sum() {
        double value = product();
        while (at < tokens.size()) {
            if (take("+")) {
                value += product();
            } else if (take("-")) {
                value -= product();
            } else {
                break;
            }
        }
        return value;
    }

    private double product() {
        double value = factor();
        while (at < tokens.size()) {
            if (take("*")) {
                value *= factor();
            } else if (take("/")) {
                value /= factor();
            } else {
                break;
            }
        }
        return value;
    }

    private double factor() {
        if (take("(")) {
            double value = sum();
            if (!take(")")) {
                throw new IllegalArgumentException("a parenthesis is not closed");
            }
            return value;
        }
        String token = at < tokens.size() ? tokens.get(at++) : "";
        if (token.matches("\\d.*")) {
            return Double.parseDouble(token);
        }
        if (token.matches("[A-Za-z].*")) {
            return figures.of(token);
        }
        throw new IllegalArgumentException("a figure was expected, not '" + token + "'");
    }
}
