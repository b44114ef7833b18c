package loadbalancer.recovery;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListCodec;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.PolicySnapshot;

/**
 * Content of a snapshot as JSON: the endpoint list in the form of discovery's, so that {@link
 * EndpointListCodec} reads both, with the policy snapshot as one more key. The keys are those of
 * stored data and can't change. Immutable.
 */
final class SnapshotContentCodec {
    private static final String POLICY_SNAPSHOT = "module";

    // Names of zones and machine types
    private final BootSettings boot;

    SnapshotContentCodec(BootSettings boot) {
        this.boot = boot;
    }

    byte[] encode(
            long revision,
            List<EndpointList.Entry> endpoints,
            Optional<PolicySnapshot> policySnapshot) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("rev", revision);
        content.put("all", true);
        content.put("targets", endpoints.stream().map(this::encodeEndpoint).toList());
        policySnapshot.ifPresent(
                snapshot -> content.put(POLICY_SNAPSHOT, PolicySnapshotCodec.encode(snapshot)));
        try {
            return JSON.std.asBytes(content);
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode the state in memory", e);
        }
    }

    private Map<String, Object> encodeEndpoint(EndpointList.Entry entry) {
        Endpoint endpoint = entry.endpoint();
        // Only a removed endpoint has none, and those are not persisted.
        InetSocketAddress address = entry.address().orElseThrow();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("uid", endpoint.id());
        fields.put("endpoint", address.getAddress().getHostAddress() + ":" + address.getPort());
        fields.put("state", endpoint.status() == EndpointStatus.UP ? "in_service" : "terminating");
        fields.put("capacity_hint", endpoint.weight());
        fields.put("boot_ms", endpoint.startedAtMicros() / 1000);
        fields.put("pod_group", endpoint.cell());
        if (endpoint.zone() >= 0) {
            fields.put("az", boot.zoneNames().get(endpoint.zone()));
        }
        if (endpoint.machineType() >= 0) {
            fields.put("model", boot.machineTypeNames().get(endpoint.machineType()));
        }
        return fields;
    }

    /**
     * Decodes the endpoint list.
     *
     * @throws loadbalancer.config.InvalidEndpointListException if it is malformed
     */
    EndpointList decodeEndpoints(byte[] content) {
        return EndpointListCodec.decode(content, 0, content.length, boot);
    }

    /**
     * Decodes the policy snapshot; empty if none was stored.
     *
     * @throws IOException if the content is no JSON
     * @throws MalformedPolicySnapshotException if the policy snapshot is malformed
     */
    Optional<PolicySnapshot> decodePolicySnapshot(byte[] content) throws IOException {
        Object encoded = JSON.std.mapFrom(content).get(POLICY_SNAPSHOT);
        return Optional.ofNullable(encoded).map(PolicySnapshotCodec::decode);
    }
}
