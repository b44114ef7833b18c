package loadbalancer.recovery;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListCodec;
import loadbalancer.routing.api.PolicySnapshot;

/**
 * Encodes and decodes the content of a snapshot as JSON. The endpoint list has the same form as
 * discovery's lists, so that {@link EndpointListCodec} reads both; the policy snapshot is stored
 * under an additional key. The keys must not change, because files written by earlier versions
 * contain them. Immutable.
 */
final class SnapshotContentCodec {
    private static final String POLICY_SNAPSHOT = "module";

    // Provides the names of zones and machine types.
    private final BootSettings boot;

    SnapshotContentCodec(BootSettings boot) {
        this.boot = boot;
    }

    /** Returns the JSON text, UTF-8, of an endpoint list and, if present, a policy snapshot. */
    byte[] encode(EndpointList endpointList, Optional<PolicySnapshot> policySnapshot) {
        Map<String, Object> content = EndpointListCodec.encodeTree(endpointList, boot);
        policySnapshot.ifPresent(
                snapshot -> content.put(POLICY_SNAPSHOT, PolicySnapshotCodec.encode(snapshot)));
        try {
            return JSON.std.asBytes(content);
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode the snapshot content as JSON", e);
        }
    }

    /**
     * Decodes the endpoint list.
     *
     * @throws loadbalancer.config.InvalidEndpointListException if the list is malformed
     */
    EndpointList decodeEndpoints(byte[] content) {
        return EndpointListCodec.decode(content, 0, content.length, boot);
    }

    /**
     * Decodes the policy snapshot. Returns empty if none was stored.
     *
     * @throws IOException if the content is not valid JSON
     * @throws MalformedPolicySnapshotException if the policy snapshot is malformed
     */
    Optional<PolicySnapshot> decodePolicySnapshot(byte[] content) throws IOException {
        Object encoded = JSON.std.mapFrom(content).get(POLICY_SNAPSHOT);
        return Optional.ofNullable(encoded).map(PolicySnapshotCodec::decode);
    }
}
