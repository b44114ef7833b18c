package loadbalancer.recovery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.PolicySnapshot;

/**
 * Converts a {@link PolicySnapshot} to and from the maps and lists of its stored JSON. A snapshot
 * with any invalid field is rejected as a whole. The keys must not change, because files written by
 * earlier versions contain them. Stateless.
 */
final class PolicySnapshotCodec {
    private static final String ENDPOINTS = "servers";
    private static final String USUAL_LATENCIES = "latencies";
    private static final String ID = "uid";
    private static final String STARTED_AT = "started";
    private static final String ACCOMPLISHMENT = "count";
    private static final String SUCCESSES = "served";
    private static final String FAILURES = "failed";
    private static final String EJECTED_FOR = "rests";
    private static final String EJECTIONS = "ejections";
    private static final String CONNECT_FAILURES = "unreached";
    private static final String CLASS_EJECTED_FOR = "class_rests";

    // Upper bound on counts and on latencies in microseconds.
    private static final double MAX_COUNT_OR_LATENCY = 1e9;
    // Longer than the longest ejection.
    private static final long MAX_EJECTION_MICROS = 60_000_000;
    private static final int MAX_CONSECUTIVE_FAILURES = 1_000_000;

    private PolicySnapshotCodec() {}

    /** Returns {@code snapshot} as a map for a JSON writer. */
    static Map<String, Object> encode(PolicySnapshot snapshot) {
        return Map.of(
                ENDPOINTS,
                snapshot.endpoints().stream().map(PolicySnapshotCodec::encodeEndpoint).toList(),
                USUAL_LATENCIES,
                snapshot.usualLatenciesMicros());
    }

    private static Map<String, Object> encodeEndpoint(PolicySnapshot.EndpointSnapshot endpoint) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ID, endpoint.id());
        fields.put(STARTED_AT, endpoint.startedAtMicros());
        fields.put(ACCOMPLISHMENT, endpoint.accomplishment());
        fields.put(SUCCESSES, endpoint.decayedSuccesses());
        fields.put(FAILURES, endpoint.decayedFailures());
        fields.put(EJECTED_FOR, endpoint.ejectedForMicros());
        fields.put(EJECTIONS, endpoint.consecutiveEjections());
        fields.put(CONNECT_FAILURES, endpoint.consecutiveConnectFailures());
        fields.put(CLASS_EJECTED_FOR, endpoint.classEjectedForMicros());
        return fields;
    }

    /**
     * Decodes a map that {@link #encode} returned and that was written to JSON and read back.
     *
     * @throws MalformedPolicySnapshotException if a field is missing or invalid
     */
    static PolicySnapshot decode(Object encoded) {
        Map<?, ?> fields = asMap("policy snapshot", encoded);
        return new PolicySnapshot(
                list(fields, ENDPOINTS).stream().map(PolicySnapshotCodec::decodeEndpoint).toList(),
                list(fields, USUAL_LATENCIES).stream()
                        .map(latency -> asNumber(USUAL_LATENCIES, latency, MAX_COUNT_OR_LATENCY))
                        .toList());
    }

    private static PolicySnapshot.EndpointSnapshot decodeEndpoint(Object encoded) {
        Map<?, ?> fields = asMap(ENDPOINTS, encoded);
        if (!(fields.get(ID) instanceof String id)) {
            throw new MalformedPolicySnapshotException(ID, "not a string");
        }
        return new PolicySnapshot.EndpointSnapshot(
                id,
                (long) number(fields, STARTED_AT, Long.MAX_VALUE),
                number(fields, ACCOMPLISHMENT, MAX_COUNT_OR_LATENCY),
                number(fields, SUCCESSES, MAX_COUNT_OR_LATENCY),
                number(fields, FAILURES, MAX_COUNT_OR_LATENCY),
                (long) number(fields, EJECTED_FOR, MAX_EJECTION_MICROS),
                (int) number(fields, EJECTIONS, MAX_CONSECUTIVE_FAILURES),
                (int) number(fields, CONNECT_FAILURES, MAX_CONSECUTIVE_FAILURES),
                durations(fields, CLASS_EJECTED_FOR));
    }

    private static List<Long> durations(Map<?, ?> fields, String key) {
        return list(fields, key).stream()
                .map(micros -> (long) asNumber(key, micros, MAX_EJECTION_MICROS))
                .toList();
    }

    private static Map<?, ?> asMap(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedPolicySnapshotException(field, "not an object");
    }

    private static List<?> list(Map<?, ?> fields, String key) {
        if (fields.get(key) instanceof List<?> list) {
            return list;
        }
        throw new MalformedPolicySnapshotException(key, "not a list");
    }

    private static double number(Map<?, ?> fields, String key, double max) {
        return asNumber(key, fields.get(key), max);
    }

    private static double asNumber(String field, Object value, double max) {
        if (value instanceof Number number
                && number.doubleValue() >= 0
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        throw new MalformedPolicySnapshotException(
                field, "not a number from 0 to " + max + ": " + value);
    }
}
