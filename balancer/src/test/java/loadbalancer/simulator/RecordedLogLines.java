package loadbalancer.simulator;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Translates log lines of the routing policy from the wording of earlier versions, with which the
 * golden files were recorded, to the current wording. The values in the lines must be the same.
 * Stateless.
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
     * The wordings of one kind of log line.
     *
     * @param earlier pattern that matches the whole line of an earlier version
     * @param current the line of the current version, with references to groups of {@code earlier}
     */
    private record Wording(Pattern earlier, String current) {}

    private RecordedLogLines() {}

    /**
     * Returns the line that the current version writes in place of a recorded one.
     *
     * @throws AssertionError if the recorded line matches no known wording
     */
    static String toCurrentWording(String recordedLine) {
        for (Wording wording : WORDINGS) {
            Matcher matcher = wording.earlier().matcher(recordedLine);
            if (matcher.matches()) {
                return matcher.replaceAll(wording.current());
            }
        }
        throw new AssertionError("unknown kind of recorded log line: " + recordedLine);
    }
}
