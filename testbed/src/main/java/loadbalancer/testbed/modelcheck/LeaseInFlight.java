package loadbalancer.testbed.modelcheck;

import java.util.Arrays;
import loadbalancer.lease.LeaseMessage;

/** A protocol message or an action in flight from one member to another. */
sealed interface LeaseInFlight {
    /** Returns the sender. */
    int from();

    /** Returns the recipient. */
    int to();

    /** Returns a hash that distinguishes messages between the same two members. */
    long contentHash();

    /** A message of the lease protocol. */
    record ProtocolMessage(int from, int to, LeaseMessage payload) implements LeaseInFlight {
        @Override
        public long contentHash() {
            // Hashes the encoded bytes because the hash of an enum value differs between JVMs, and
            // with it the set of states that a seed visits would differ.
            return Arrays.hashCode(payload.encode());
        }

        @Override
        public String toString() {
            return payload.kind() + " from n" + from + " to n" + to;
        }
    }

    /** An action of a lease holder, which the recipient accepts or rejects by its epoch. */
    record FencedAction(int from, int to, long epoch) implements LeaseInFlight {
        @Override
        public long contentHash() {
            return epoch * 7;
        }

        @Override
        public String toString() {
            return "action under epoch " + epoch + " from n" + from + " to n" + to;
        }
    }
}
