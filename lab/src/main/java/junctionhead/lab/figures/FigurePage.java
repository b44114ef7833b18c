package junctionhead.lab.figures;

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
 * A page of Markdown whose figures stand on files. A figure is a link, {@code [394 m][quiet]}: the
 * first number of its text is held against what its label says, {@code [quiet]:
 * capacity/members.json "n1600.bytes * 8"}, a file beside the page and an {@link Expression} over
 * its keys. A figure agrees if what the file gives, rounded to as many decimals as are shown, is
 * what is shown. A number that says of itself to be measured, {@code m}, and is no such link is a
 * fault, as is a label that nothing refers to.
 */
public final class FigurePage {
    private static final Pattern LABEL =
            Pattern.compile("^\\[([^\\]]+)]: (\\S+\\.json) \"([^\"]+)\"\\s*$");
    private static final Pattern FIGURE = Pattern.compile("\\[([^\\[\\]]+)]\\[([^\\[\\]]+)]");
    private static final Pattern NUMBER = Pattern.compile("-?\\d[\\d,]*(?:\\.(\\d+))?");
    private static final Pattern UNMARKED = Pattern.compile("\\d[^|]{0,30}? m(?![\\w-])");
    private static final Pattern CODE = Pattern.compile("`[^`]*`");

    private record Label(String name, String file, String expression, int line) {}

    private final Path page;
    private final Map<String, Label> labels = new LinkedHashMap<>();
    private final Map<Path, Measured> files = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private int checked;

    private FigurePage(Path page) {
        this.page = page;
    }

    /** How many figures agreed or not, and a line for each fault. */
    public record Check(int figures, List<String> faults) {}

    /**
     * Holds a page to its files.
     *
     * @throws IOException where the page itself can't be read
     */
    public static Check check(Path page) throws IOException {
        FigurePage of = new FigurePage(page);
        of.read(Files.readAllLines(page));
        return new Check(of.checked, List.copyOf(of.faults));
    }

    private void read(List<String> lines) {
        for (int i = 0; i < lines.size(); i++) {
            Matcher label = LABEL.matcher(lines.get(i));
            if (label.matches()
                    && labels.put(
                                    label.group(1),
                                    new Label(
                                            label.group(1), label.group(2), label.group(3), i + 1))
                            != null) {
                fault(i + 1, "two labels " + label.group(1));
            }
        }
        Set<String> used = new HashSet<>();
        for (int i = 0; i < lines.size(); i++) {
            if (LABEL.matcher(lines.get(i)).matches()) {
                continue;
            }
            String text = CODE.matcher(lines.get(i)).replaceAll("");
            Matcher figure = FIGURE.matcher(text);
            while (figure.find()) {
                used.add(figure.group(2));
                compare(i + 1, figure.group(1), figure.group(2));
            }
            Matcher unmarked = UNMARKED.matcher(FIGURE.matcher(text).replaceAll("|"));
            while (unmarked.find()) {
                fault(i + 1, "said to be measured, but refers to no file: " + unmarked.group());
            }
        }
        labels.values().stream()
                .filter(l -> !used.contains(l.name))
                .forEach(l -> fault(l.line, "nothing refers to " + l.name));
    }

    private void fault(int line, String what) {
        faults.add(page + ":" + line + ": " + what);
    }

    private void compare(int line, String shown, String name) {
        checked++;
        Label label = labels.get(name);
        Matcher number = NUMBER.matcher(shown);
        if (!number.find()) {
            fault(line, "no number in [" + shown + "][" + name + "]");
        } else if (label == null) {
            fault(line, "no label " + name + " for " + shown);
        } else {
            try {
                double is = Expression.value(label.expression, key -> figure(label.file, key));
                int decimals = number.group(1) == null ? 0 : number.group(1).length();
                double says = Double.parseDouble(number.group().replace(",", ""));
                // a hair more than half of the last digit: what lies just between may be rounded
                // either way
                if (!(Math.abs(is - says) <= 0.5 * Math.pow(10, -decimals) * (1 + 1e-6))) {
                    fault(
                            line,
                            String.format(
                                    Locale.ROOT,
                                    "%s is %." + (decimals + 2) + "f by %s \"%s\"",
                                    shown,
                                    is,
                                    label.file,
                                    label.expression));
                }
            } catch (IllegalArgumentException e) {
                fault(line, name + ": " + e.getMessage());
            }
        }
    }

    // A key of the label's file, or one of another that lies beside it.
    private double figure(String file, String key) {
        int colon = key.indexOf(':');
        Path beside = page.resolveSibling(file);
        Path of = colon < 0 ? beside : beside.resolveSibling(key.substring(0, colon) + ".json");
        if (!files.containsKey(of)) {
            try {
                files.put(of, Measured.read(of));
            } catch (IOException e) {
                throw new IllegalArgumentException("no file " + of);
            }
        }
        Double value = files.get(of).figures().get(key.substring(colon + 1));
        if (value == null) {
            throw new IllegalArgumentException(
                    "no figure " + key.substring(colon + 1) + " in " + of);
        }
        return value;
    }
}
