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
 * Checks the figures of a Markdown page against measurement files. A figure is a link, {@code [394
 * m][quiet]}; its label, {@code [quiet]: capacity/members.json "n1600.bytes * 8"}, names a file
 * relative to the page and a {@link FigureExpression} over the file's keys. The figure agrees if
 * the value of the expression, rounded to the decimals of the first number in the link's text,
 * equals that number. A number that is marked as measured, with {@code m}, and is not such a link
 * is an error, and so is a label to which nothing refers. Not thread-safe.
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

    /** The label of figures, and what it refers to. */
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
     * @param figureCount the number of figures on the page
     * @param errors one line for each error, with the page and the line number
     */
    public record Result(int figureCount, List<String> errors) {}

    /**
     * Checks a page. Measurement files that can't be read are errors of the page.
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
            Matcher reference = REFERENCE_PATTERN.matcher(lines.get(i));
            if (reference.matches()
                    && references.put(
                                    reference.group(1),
                                    new FigureReference(
                                            reference.group(1),
                                            reference.group(2),
                                            reference.group(3),
                                            i + 1))
                            != null) {
                addError(i + 1, "two labels " + reference.group(1));
            }
        }
        Set<String> usedReferences = new HashSet<>();
        for (int i = 0; i < lines.size(); i++) {
            if (REFERENCE_PATTERN.matcher(lines.get(i)).matches()) {
                continue;
            }
            String lineText = CODE_SPAN_PATTERN.matcher(lines.get(i)).replaceAll("");
            Matcher figure = FIGURE_PATTERN.matcher(lineText);
            while (figure.find()) {
                usedReferences.add(figure.group(2));
                compareFigure(i + 1, figure.group(1), figure.group(2));
            }
            Matcher unreferenced =
                    UNREFERENCED_PATTERN.matcher(FIGURE_PATTERN.matcher(lineText).replaceAll("|"));
            while (unreferenced.find()) {
                addError(
                        i + 1,
                        "said to be measured, but refers to no file: " + unreferenced.group());
            }
        }
        references.values().stream()
                .filter(unused -> !usedReferences.contains(unused.name))
                .forEach(unused -> addError(unused.line, "nothing refers to " + unused.name));
    }

    private void addError(int line, String message) {
        errors.add(page + ":" + line + ": " + message);
    }

    private void compareFigure(int line, String shown, String name) {
        checkedFigures++;
        FigureReference reference = references.get(name);
        Matcher number = NUMBER_PATTERN.matcher(shown);
        if (!number.find()) {
            addError(line, "no number in [" + shown + "][" + name + "]");
        } else if (reference == null) {
            addError(line, "no label " + name + " for " + shown);
        } else {
            try {
                double actual =
                        FigureExpression.evaluate(
                                reference.expression, key -> metric(reference.file, key));
                int decimals = number.group(1) == null ? 0 : number.group(1).length();
                double stated = Double.parseDouble(number.group().replace(",", ""));
                // Slightly more than half of the last digit, since a value in the middle may be
                // rounded either way.
                if (!(Math.abs(actual - stated) <= 0.5 * Math.pow(10, -decimals) * (1 + 1e-6))) {
                    addError(
                            line,
                            String.format(
                                    Locale.ROOT,
                                    "%s is %." + (decimals + 2) + "f by %s \"%s\"",
                                    shown,
                                    actual,
                                    reference.file,
                                    reference.expression));
                }
            } catch (InvalidFigureException e) {
                addError(line, name + ": " + e.getMessage());
            }
        }
    }

    // The key belongs to the label's file, or to another file in the same directory.
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
                throw new InvalidFigureException("no file " + path);
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
