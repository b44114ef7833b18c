package loadbalancer.testbed.modelcheck;

import java.util.Arrays;
import loadbalancer.lease.LeaseMessage;

/** Something on its way from one member to another. */
sealed interface LeaseInFlight {
    /** The sender. */
    int from();

    /** The recipient. */
    int to();

    /** What distinguishes it from others between the same two members. */
    long contentHash();

    /** A message of the lease protocol. */
    record ProtocolMessage(int from, int to, LeaseMessage payload) implements LeaseInFlight {
        @Override
        public long contentHash() {
            // Of the bytes: an enum's own hash differs from one JVM to the next, and with it would
            // the
            // states that a seed visits.
            return Arrays.hashCode(payload.encode());
        }

        @Override
        public String toString() {
            return payload.kind() + " of n" + from + " to n" + to;
        }
    }

    /** An action of a lease holder, which recipients accept or reject by its epoch. */
    record FencedAction(int from, int to, long epoch) implements LeaseInFlight {
        @Override
        public long contentHash() {
            return epoch * 7;
        }

        @Override
        public String toString() {
            return "act under " + epoch + " of n" + from + " to n" + to;
        }
    }
}
