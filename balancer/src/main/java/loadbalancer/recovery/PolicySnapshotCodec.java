package loadbalancer.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.PolicySnapshot;

/**
 * {@link PolicySnapshot} as plain maps and lists, for JSON; what is odd in them is refused as a
 * whole.
 */
final class PolicySnapshotCodec {
    private static final double MAX_COUNT = 1e9;
    // µs that anything rests at most, and more
    private static final long MAX_DURATION_MICROS = 60_000_000;
    private static final int MAX_CONSECUTIVE_FAILURES = 1_000_000;

    private PolicySnapshotCodec() {}

    static Map<String, Object> encode(PolicySnapshot snapshot) {
        List<Object> endpoints = new ArrayList<>();
        for (PolicySnapshot.EndpointSnapshot endpoint : snapshot.endpoints()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("uid", endpoint.id());
            fields.put("started", endpoint.startedAtMicros());
            fields.put("count", endpoint.accomplishment());
            fields.put("served", endpoint.decayedSuccesses());
            fields.put("failed", endpoint.decayedFailures());
            fields.put("rests", endpoint.ejectedForMicros());
            fields.put("ejections", endpoint.consecutiveEjections());
            fields.put("unreached", endpoint.consecutiveConnectFailures());
            fields.put("class_rests", endpoint.classEjectedForMicros());
            endpoints.add(fields);
        }
        return Map.of("servers", endpoints, "latencies", snapshot.usualLatenciesMicros());
    }

    /**
     * What {@link #encode} wrote.
     *
     * @throws IllegalArgumentException where it is anything else
     */
    static PolicySnapshot decode(Object encoded) {
        List<PolicySnapshot.EndpointSnapshot> endpoints = new ArrayList<>();
        for (Object item : asList(asMap(encoded).get("servers"))) {
            Map<?, ?> fields = asMap(item);
            if (!(fields.get("uid") instanceof String id)) {
                throw new IllegalArgumentException("no server");
            }
            endpoints.add(
                    new PolicySnapshot.EndpointSnapshot(
                            id,
                            (long) asNumber(fields.get("started"), Long.MAX_VALUE),
                            asNumber(fields.get("count"), MAX_COUNT),
                            asNumber(fields.get("served"), MAX_COUNT),
                            asNumber(fields.get("failed"), MAX_COUNT),
                            (long) asNumber(fields.get("rests"), MAX_DURATION_MICROS),
                            (int) asNumber(fields.get("ejections"), MAX_CONSECUTIVE_FAILURES),
                            (int) asNumber(fields.get("unreached"), MAX_CONSECUTIVE_FAILURES),
                            asList(fields.get("class_rests")).stream()
                                    .map(r -> (long) asNumber(r, MAX_DURATION_MICROS))
                                    .toList()));
        }
        return new PolicySnapshot(
                endpoints,
                asList(asMap(encoded).get("latencies")).stream()
                        .map(l -> asNumber(l, MAX_COUNT))
                        .toList());
    }

    private static Map<?, ?> asMap(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IllegalArgumentException("no object");
    }

    private static List<?> asList(Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("no list");
    }

    private static double asNumber(Object value, double max) {
        if (value instanceof Number n && n.doubleValue() >= 0 && n.doubleValue() <= max) {
            return n instanceof Long || n instanceof Integer ? n.longValue() : n.doubleValue();
        }
        throw new IllegalArgumentException("no number from 0 to " + max + ": " + value);
    }
}
