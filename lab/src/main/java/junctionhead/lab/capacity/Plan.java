package junctionhead.lab.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * What a call of the command asks for, checked.
 *
 * @param length µs that each condition lasts
 * @param warmUp µs before it
 */
record Plan(
        List<Integer> balancers,
        List<Integer> upstreams,
        List<Condition> conditions,
        long length,
        long warmUp,
        List<Long> seeds,
        int zones,
        int classes,
        double rate,
        Set<Part> parts,
        int threads,
        int real) {
    private static final int BALANCERS_MOST = 4_000;
    private static final int UPSTREAMS_MOST = 65_536;

    /** Reads words as the command line has them; what is wrong is told in one line. */
    static Plan of(CapacityOptions o) throws IOException {
        Plan plan =
                new Plan(
                        numbers("--balancers", o.balancers, 2, BALANCERS_MOST),
                        numbers("--upstreams", o.upstreams, 1, UPSTREAMS_MOST),
                        words("--condition", o.conditions, Condition.class, Condition::key),
                        micros("--seconds", o.seconds, 0.1),
                        micros("--warmup", o.warmUp, 1.0),
                        numbers("--seed", o.seeds, 0, Integer.MAX_VALUE).stream()
                                .map(Integer::longValue)
                                .toList(),
                        number("--zones", o.zones, 1, 256),
                        number("--classes", o.classes, 1, 256),
                        decimal("--rate", o.rate, 0, 100_000),
                        EnumSet.copyOf(words("--parts", o.parts, Part.class, Part::key)),
                        number("--threads", o.threads, 0, 64),
                        number("--real", o.real, 0, 10));
        if (plan.parts.contains(Part.DUTIES) && !plan.parts.contains(Part.MEMBERSHIP)) {
            throw new IOException("--parts: duties go by membership");
        }
        if (plan.real > 0 && !o.sockets) {
            throw new IOException("--real: real balancers need --sockets");
        }
        if (plan.real > 0
                && !EnumSet.of(Condition.QUIET, Condition.LOSS10).containsAll(plan.conditions)) {
            throw new IOException("--real: only with quiet and loss10");
        }
        if (plan.real > 0 && plan.balancers.stream().anyMatch(n -> n <= plan.real)) {
            throw new IOException("--real: there must be more balancers than real ones");
        }
        return plan;
    }

    private static long micros(String option, String text, double least) throws IOException {
        return Math.round(1e6 * decimal(option, text, least, 3600));
    }

    private static int number(String option, String text, int least, int most) throws IOException {
        try {
            int number = Integer.parseInt(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new IOException(option + ": not a whole number: '" + text + "'");
        }
        throw new IOException(option + ": not from " + least + " to " + most + ": " + text);
    }

    private static double decimal(String option, String text, double least, double most)
            throws IOException {
        try {
            double number = Double.parseDouble(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new IOException(option + ": not a number: '" + text + "'");
        }
        throw new IOException(option + ": not from " + least + " to " + most + ": " + text);
    }

    private static List<Integer> numbers(String option, String text, int least, int most)
            throws IOException {
        List<Integer> numbers = new ArrayList<>();
        for (String word : text.split(",", -1)) {
            numbers.add(number(option, word, least, most));
        }
        return List.copyOf(numbers);
    }

    private static <E extends Enum<E>> List<E> words(
            String option, String text, Class<E> of, Function<E, String> name) throws IOException {
        List<E> found = new ArrayList<>();
        for (String word : text.split(",", -1)) {
            found.add(
                    Arrays.stream(of.getEnumConstants())
                            .filter(e -> name.apply(e).equals(word))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            new IOException(
                                                    option
                                                            + ": no "
                                                            + word
                                                            + ", only "
                                                            + String.join(
                                                                    ", ",
                                                                    Arrays.stream(
                                                                                    of
                                                                                            .getEnumConstants())
                                                                            .map(name)
                                                                            .toList()))));
        }
        return List.copyOf(found);
    }
}
