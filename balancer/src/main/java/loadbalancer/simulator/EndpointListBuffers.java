package loadbalancer.simulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;

/**
 * Stores the numbered buffers of endpoint lists that LIST frames fill and SYNC frames refer to. All
 * instances share them. Not thread-safe.
 */
final class EndpointListBuffers {
    private static final int BUFFER_COUNT = 16;
    private static final String BUFFER = "Buffer";
    private static final String ENTRIES = "Entries";
    private static final String STATUS = "StageState";
    private static final String[] ITEM_FIELDS = {
        "StartTime", "Upstream", STATUS, "Heft", "Group", "GenerationHw", "Locality"
    };
    private static final int UNKNOWN_INDEX = -1;

    // Indexed by buffer number. Contains only buffers that a LIST frame has filled.
    private final Map<Integer, List<Endpoint>> listsByBuffer = new HashMap<>();

    /**
     * Reads the ITEM frames announced by {@code listFrame} into the buffer that it names.
     *
     * @throws WireFormatException if a frame is malformed, or fewer ITEM frames follow than
     *     announced
     * @throws IOException if the input can't be read
     */
    void read(WireFrame listFrame, FrameReader frames) throws IOException {
        int bufferIndex = listFrame.withFields(BUFFER, ENTRIES).index(BUFFER, BUFFER_COUNT);
        int entryCount = listFrame.index(ENTRIES, Integer.MAX_VALUE);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            if (!frames.advance() || !frames.current().name().equals("ITEM")) {
                throw frames.malformed(
                        "LIST", ENTRIES, entryCount + " ITEM lines announced, " + i + " found");
            }
            endpoints.add(toEndpoint(frames.current().withFields(ITEM_FIELDS)));
        }
        listsByBuffer.put(bufferIndex, List.copyOf(endpoints));
    }

    private static Endpoint toEndpoint(WireFrame item) {
        // The status is parsed first, so that of several faults in a line it is the one reported.
        EndpointStatus status = item.term(STATUS, "word", WireTerms.ENDPOINT_STATUSES);
        return new Endpoint(
                item.text("Upstream"),
                status,
                item.integer("StartTime", 0),
                item.number("Heft", 1),
                item.index("Group", Integer.MAX_VALUE, UNKNOWN_INDEX),
                item.index("GenerationHw", Integer.MAX_VALUE, UNKNOWN_INDEX),
                item.index("Locality", Integer.MAX_VALUE, UNKNOWN_INDEX));
    }

    /**
     * Returns the list in the buffer that the frame's field {@code Buffer} names.
     *
     * @throws WireFormatException if no LIST frame has filled that buffer
     */
    List<Endpoint> get(WireFrame frame) {
        List<Endpoint> endpoints = listsByBuffer.get(frame.index(BUFFER, BUFFER_COUNT));
        if (endpoints == null) {
            throw frame.malformed(
                    BUFFER, "no LIST has filled this buffer: " + frame.rawValue(BUFFER));
        }
        return endpoints;
    }
}
