package loadbalancer.cluster;

import java.util.function.Consumer;

/**
 * Logs the first datagram of a protocol that can't be decoded, and none after it, since a peer that
 * sends one may send many. Event loop only.
 */
final class DecodeFailureLog {
    private final String protocol;
    private final Consumer<String> log;
    private boolean logged;

    DecodeFailureLog(String protocol, Consumer<String> log) {
        this.protocol = protocol;
        this.log = log;
    }

    /** Handles a datagram from peer {@code from} that can't be decoded. */
    void onDecodeFailure(int from) {
        if (!logged) {
            logged = true;
            log.accept(protocol + " message ignored: from=" + from + " reason=undecodable");
        }
    }
}
