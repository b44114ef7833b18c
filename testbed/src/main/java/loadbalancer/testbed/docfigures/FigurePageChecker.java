package loadbalancer.testbed.docfigures;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the figures of a Markdown page against measurement files. A figure is a reference link
 * such as {@code [394 m][quiet]}. Its label is defined by a line such as {@code [quiet]:
 * capacity/members.json "n1600.bytes * 8"}, which names a file relative to the page and a {@link
 * FigureExpression} over the file's keys. The figure agrees if the value of the expression, rounded
 * to the decimals of the first number in the link's text, equals that number. A number that is
 * marked as measured with {@code m} but is not such a link is an error, and so is a label that no
 * figure uses. Not thread-safe.
 */
public final class FigurePageChecker {
    private static final Pattern REFERENCE_PATTERN =
            Pattern.compile("^\\[([^\\]]+)]: (\\S+\\.json) \"([^\"]+)\"\\s*$");
    private static final Pattern FIGURE_PATTERN =
            Pattern.compile("\\[([^\\[\\]]+)]\\[([^\\[\\]]+)]");
    private static final Pattern NUMBER_PATTERN = Pattern.compile("-?\\d[\\d,]*(?:\\.(\\d+))?");
    private static final Pattern UNREFERENCED_PATTERN =
            Pattern.compile("\\d[^|]{0,30}? m(?![\\w-])");
    private static final Pattern CODE_SPAN_PATTERN = Pattern.compile("`[^`]*`");

    /** The definition of a label: the file and the expression that it refers to. */
    private record FigureReference(String name, String file, String expression, int line) {}

    private final Path page;
    private final Map<String, FigureReference> references = new LinkedHashMap<>();
    private final Map<Path, MeasurementFile> measurementFiles = new HashMap<>();
    private final List<String> errors = new ArrayList<>();
    private int checkedFigures;

    private FigurePageChecker(Path page) {
        this.page = page;
    }

    /**
     * The result of a check.
     *
     * @param figureCount number of figures on the page
     * @param errors one message for each error, with the page and the line number
     */
    public record Result(int figureCount, List<String> errors) {}

    /**
     * Checks a page. Measurement files that can't be read are reported as errors of the page.
     *
     * @throws IOException if the page itself can't be read
     */
    public static Result check(Path page) throws IOException {
        FigurePageChecker checker = new FigurePageChecker(page);
        checker.checkLines(Files.readAllLines(page));
        return new Result(checker.checkedFigures, List.copyOf(checker.errors));
    }

    private void checkLines(List<String> lines) {
        for (int i = 0; i < lines.size(); i++) {
            readReference(i + 1, lines.get(i));
        }
        Set<String> usedReferences = new HashSet<>();
        for (int i = 0; i < lines.size(); i++) {
            if (!REFERENCE_PATTERN.matcher(lines.get(i)).matches()) {
                checkText(i + 1, lines.get(i), usedReferences);
            }
        }
        references.values().stream()
                .filter(unused -> !usedReferences.contains(unused.name))
                .forEach(unused -> addError(unused.line, "no figure uses label " + unused.name));
    }

    private void readReference(int line, String text) {
        Matcher matcher = REFERENCE_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return;
        }
        FigureReference reference =
                new FigureReference(matcher.group(1), matcher.group(2), matcher.group(3), line);
        if (references.put(reference.name, reference) != null) {
            addError(line, "duplicate label " + reference.name);
        }
    }

    private void checkText(int line, String text, Set<String> usedReferences) {
        String withoutCode = CODE_SPAN_PATTERN.matcher(text).replaceAll("");
        Matcher figure = FIGURE_PATTERN.matcher(withoutCode);
        while (figure.find()) {
            usedReferences.add(figure.group(2));
            checkFigure(line, figure.group(1), figure.group(2));
        }
        String withoutFigures = FIGURE_PATTERN.matcher(withoutCode).replaceAll("|");
        Matcher unreferenced = UNREFERENCED_PATTERN.matcher(withoutFigures);
        while (unreferenced.find()) {
            addError(line, "marked as measured, but not linked to a file: " + unreferenced.group());
        }
    }

    private void addError(int line, String message) {
        errors.add(page + ":" + line + ": " + message);
    }

    private void checkFigure(int line, String shown, String name) {
        checkedFigures++;
        FigureReference reference = references.get(name);
        Matcher number = NUMBER_PATTERN.matcher(shown);
        if (!number.find()) {
            addError(line, "no number in [" + shown + "][" + name + "]");
            return;
        }
        if (reference == null) {
            addError(line, "no label " + name + " for " + shown);
            return;
        }
        int decimals = number.group(1) == null ? 0 : number.group(1).length();
        double stated = Double.parseDouble(number.group().replace(",", ""));
        try {
            double actual =
                    FigureExpression.evaluate(
                            reference.expression, key -> metric(reference.file, key));
            if (!agrees(actual, stated, decimals)) {
                addError(line, describeDifference(shown, actual, decimals, reference));
            }
        } catch (InvalidFigureException e) {
            addError(line, name + ": " + e.getMessage());
        }
    }

    // The tolerance is slightly more than half a unit of the last digit, because a value halfway
    // between two may be rounded either way. Returns false if a value is NaN.
    private static boolean agrees(double actual, double stated, int decimals) {
        double tolerance = 0.5 * Math.pow(10, -decimals) * (1 + 1e-6);
        return Math.abs(actual - stated) <= tolerance;
    }

    private static String describeDifference(
            String shown, double actual, int decimals, FigureReference reference) {
        return String.format(
                Locale.ROOT,
                "%s does not agree with %." + (decimals + 2) + "f from %s \"%s\"",
                shown,
                actual,
                reference.file,
                reference.expression);
    }

    // Returns the value of a key of the label's file or of another file in the same directory.
    private double metric(String file, String key) {
        int colon = key.indexOf(':');
        Path measurementPath = page.resolveSibling(file);
        Path path =
                colon < 0
                        ? measurementPath
                        : measurementPath.resolveSibling(key.substring(0, colon) + ".json");
        if (!measurementFiles.containsKey(path)) {
            try {
                measurementFiles.put(path, MeasurementFile.read(path));
            } catch (IOException e) {
                throw new InvalidFigureException("cannot read measurement file " + path);
            }
        }
        Double value = measurementFiles.get(path).metrics().get(key.substring(colon + 1));
        if (value == null) {
            throw new InvalidFigureException(
                    "no figure " + key.substring(colon + 1) + " in " + path);
        }
        return value;
    }
}
