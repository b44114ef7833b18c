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

    byte[] encode(EndpointList endpointList, Optional<PolicySnapshot> policySnapshot) {
        Map<String, Object> content = EndpointListCodec.encodeTree(endpointList, boot);
        policySnapshot.ifPresent(
                snapshot -> content.put(POLICY_SNAPSHOT, PolicySnapshotCodec.encode(snapshot)));
        try {
            return JSON.std.asBytes(content);
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode the state in memory", e);
        }
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
