package loadbalancer.testbed.capacity;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Lists the cases that one call of the command measures, with their settings. Immutable.
 *
 * @param balancers the sizes of the fleet
 * @param upstreams the sizes of the endpoint list
 * @param conditions the conditions of each size
 * @param lengthMicros the duration of a condition, µs
 * @param warmUpMicros how long a fleet runs before the condition, without being measured, µs
 * @param seeds the seeds of each case
 * @param zones the number of zones
 * @param classes the number of request classes
 * @param requestsPerSecond the mean number of requests per second of a balancer
 * @param components the components of the hollow balancers
 * @param threads the number of threads that all hollow balancers on sockets share; 0: one thread
 *     for each
 * @param realBalancers the number of real balancers in a fleet on sockets
 */
record CapacityPlan(
        List<Integer> balancers,
        List<Integer> upstreams,
        List<FleetCondition> conditions,
        long lengthMicros,
        long warmUpMicros,
        List<Long> seeds,
        int zones,
        int classes,
        double requestsPerSecond,
        Set<BalancerComponent> components,
        int threads,
        int realBalancers) {
    private static final int MAX_BALANCERS = 4_000;
    private static final int MAX_UPSTREAMS = 65_536;

    /**
     * Parses and checks the options of the command line.
     *
     * @throws InvalidOptionException if an option is invalid
     */
    static CapacityPlan of(CapacityOptions options) {
        CapacityPlan plan =
                new CapacityPlan(
                        parseIntegers("--balancers", options.balancers, 2, MAX_BALANCERS),
                        parseIntegers("--upstreams", options.upstreams, 1, MAX_UPSTREAMS),
                        parseConstants(
                                "--condition",
                                options.conditions,
                                FleetCondition.class,
                                FleetCondition::key),
                        parseSecondsAsMicros("--seconds", options.seconds, 0.1),
                        parseSecondsAsMicros("--warmup", options.warmUp, 1.0),
                        parseIntegers("--seed", options.seeds, 0, Integer.MAX_VALUE).stream()
                                .map(Integer::longValue)
                                .toList(),
                        parseInteger("--zones", options.zones, 1, 256),
                        parseInteger("--classes", options.classes, 1, 256),
                        parseDecimal("--rate", options.rate, 0, 100_000),
                        EnumSet.copyOf(
                                parseConstants(
                                        "--parts",
                                        options.components,
                                        BalancerComponent.class,
                                        BalancerComponent::key)),
                        parseInteger("--threads", options.threads, 0, 64),
                        parseInteger("--real", options.realBalancers, 0, 10));
        if (plan.components.contains(BalancerComponent.LEASES)
                && !plan.components.contains(BalancerComponent.MEMBERSHIP)) {
            throw new InvalidOptionException("--parts", "duties require membership");
        }
        if (plan.realBalancers > 0 && !options.useSockets) {
            throw new InvalidOptionException("--real", "real balancers require --sockets");
        }
        if (plan.realBalancers > 0
                && !EnumSet.of(FleetCondition.QUIET, FleetCondition.LOSS10)
                        .containsAll(plan.conditions)) {
            throw new InvalidOptionException(
                    "--real", "allowed only with the conditions quiet and loss10");
        }
        if (plan.realBalancers > 0
                && plan.balancers.stream()
                        .anyMatch(balancerCount -> balancerCount <= plan.realBalancers)) {
            throw new InvalidOptionException("--real", "must be less than the number of balancers");
        }
        return plan;
    }

    private static long parseSecondsAsMicros(String option, String text, double min) {
        return Math.round(1e6 * parseDecimal(option, text, min, 3600));
    }

    private static int parseInteger(String option, String text, int min, int max) {
        try {
            int number = Integer.parseInt(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new InvalidOptionException(option, "not a whole number: '" + text + "'");
        }
        throw new InvalidOptionException(option, "not from " + min + " to " + max + ": " + text);
    }

    private static double parseDecimal(String option, String text, double min, double max) {
        try {
            double number = Double.parseDouble(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new InvalidOptionException(option, "not a number: '" + text + "'");
        }
        throw new InvalidOptionException(option, "not from " + min + " to " + max + ": " + text);
    }

    private static List<Integer> parseIntegers(String option, String text, int min, int max) {
        List<Integer> numbers = new ArrayList<>();
        for (String item : text.split(",", -1)) {
            numbers.add(parseInteger(option, item, min, max));
        }
        return List.copyOf(numbers);
    }

    private static <E extends Enum<E>> List<E> parseConstants(
            String option, String text, Class<E> type, Function<E, String> keyOf) {
        Map<String, E> constantByKey = new LinkedHashMap<>();
        for (E constant : type.getEnumConstants()) {
            constantByKey.put(keyOf.apply(constant), constant);
        }
        List<E> constants = new ArrayList<>();
        for (String key : text.split(",", -1)) {
            E constant = constantByKey.get(key);
            if (constant == null) {
                String allowed = String.join(", ", constantByKey.keySet());
                throw new InvalidOptionException(
                        option, "unknown name " + key + ", allowed are " + allowed);
            }
            constants.add(constant);
        }
        return List.copyOf(constants);
    }
}
