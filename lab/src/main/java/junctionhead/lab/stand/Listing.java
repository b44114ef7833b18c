package junctionhead.lab.stand;

/**
 * A server as discovery lists it: {@code state} in discovery's word, {@code bootMs} in Unix time or
 * 0.
 */
public record Listing(int server, String state, long bootMs) {
    static final String UP = "in_service";
    static final String DRAINING = "terminating";
    static final String GONE = "terminated";

    boolean up() {
        return state.equals(UP);
    }
}
