package junctionhead;

import java.util.List;

/**
 * What a module knows that is worth keeping over a crash, as it was at one time. What it is worth
 * later only the module says: it fades by its age, and what discovery says goes first.
 *
 * @param servers of those listed then
 * @param latencies µs, the usual one of each class
 */
public record Kept(List<OfServer> servers, List<Double> latencies) {
    public Kept {
        servers = List.copyOf(servers);
        latencies = List.copyOf(latencies);
    }

    /**
     * What is known of one server.
     *
     * @param id the server's, of the process that started at {@code startedAt} µs
     * @param count accomplishment: faded dispatches
     * @param served faded
     * @param failed faded
     * @param restsFor µs that it gets nothing yet; 0: it is used
     * @param ejections in a row
     * @param unreached failed connects in a row
     * @param classRests µs that it gets nothing of each class yet, by the class's number
     */
    public record OfServer(
            String id,
            long startedAt,
            double count,
            double served,
            double failed,
            long restsFor,
            int ejections,
            int unreached,
            List<Long> classRests) {
        public OfServer {
            classRests = List.copyOf(classRests);
        }
    }
}
