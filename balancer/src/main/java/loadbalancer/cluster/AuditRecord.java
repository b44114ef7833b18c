package loadbalancer.cluster;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.membership.MembershipView;

/**
 * One line of the audit log: which members are present.
 *
 * @param writtenAtMs wall clock
 * @param epoch of the lease under which it is written
 * @param balancer number of the balancer that writes it
 * @param viewVersion version of that balancer's view
 * @param presentMembers numbers of the members present
 */
record AuditRecord(
        long writtenAtMs,
        long epoch,
        int balancer,
        long viewVersion,
        boolean hasMajority,
        List<Integer> presentMembers) {
    static AuditRecord of(long writtenAtMs, long epoch, int balancer, MembershipView view) {
        List<Integer> presentMembers =
                IntStream.range(0, view.members().size()).filter(view::isPresent).boxed().toList();
        return new AuditRecord(
                writtenAtMs, epoch, balancer, view.version(), view.hasMajority(), presentMembers);
    }

    /** The line as stored: operators read these keys, so they stay. */
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
