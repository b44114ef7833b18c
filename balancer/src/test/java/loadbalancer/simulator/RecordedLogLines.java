package loadbalancer.simulator;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Log lines of the routing policy as earlier versions wrote them, and as the present one does. The
 * golden files were recorded with the former: their figures must be the same, in these words.
 */
final class RecordedLogLines {
    private static final List<Wording> WORDINGS =
            List.of(
                    new Wording(
                            Pattern.compile(
                                    "overload: refusing, level ([0-9.]+), strain ([0-9.]+)"),
                            "shedding load: level=$1 overload=$2"),
                    new Wording(
                            Pattern.compile("ejected (\\S+) for (\\d+) ms after failures"),
                            "endpoint ejected: endpoint=$1 duration_ms=$2 reason=failures"));

    /**
     * One kind of line.
     *
     * @param earlier the whole line of an earlier version
     * @param present the line of the present version, with the groups of {@code earlier}
     */
    private record Wording(Pattern earlier, String present) {}

    private RecordedLogLines() {}

    /** The line that the present version writes in place of a recorded one. */
    static String inPresentWording(String recordedLine) {
        for (Wording wording : WORDINGS) {
            Matcher matcher = wording.earlier().matcher(recordedLine);
            if (matcher.matches()) {
                return matcher.replaceAll(wording.present());
            }
        }
        throw new AssertionError("a recorded line of no known kind: " + recordedLine);
    }
}
