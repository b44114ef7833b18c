package loadbalancer.cluster;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.membership.MembershipView;

/**
 * One line of the audit log, which lists the members present. Immutable.
 *
 * @param writtenAtMs wall clock, in ms since 1970
 * @param epoch epoch of the lease that protects the audit log
 * @param balancer number of the balancer that writes the line
 * @param viewVersion version of that balancer's membership view
 * @param hasMajority whether a majority of the configured members is present in that view
 * @param presentMembers numbers of the members present
 */
record AuditRecord(
        long writtenAtMs,
        long epoch,
        int balancer,
        long viewVersion,
        boolean hasMajority,
        List<Integer> presentMembers) {
    /** Creates a record of the members present in {@code view}. */
    static AuditRecord of(long writtenAtMs, long epoch, int balancer, MembershipView view) {
        List<Integer> presentMembers =
                IntStream.range(0, view.members().size()).filter(view::isPresent).boxed().toList();
        return new AuditRecord(
                writtenAtMs, epoch, balancer, view.version(), view.hasMajority(), presentMembers);
    }

    /** Returns the line as JSON. The keys must not change, since operators read them. */
    String toJsonLine() throws IOException {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("at_ms", writtenAtMs);
        json.put("epoch", epoch);
        json.put("balancer", balancer);
        json.put("view", viewVersion);
        json.put("with_most", hasMajority);
        json.put("present", presentMembers);
        return JSON.std.asString(json) + "\n";
    }
}
