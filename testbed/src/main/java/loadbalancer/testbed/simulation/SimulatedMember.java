package loadbalancer.testbed.simulation;

import java.util.BitSet;
import loadbalancer.membership.Membership;

/**
 * One member of a {@link MembershipSimulation}: its present process and what is known of its latest
 * end. Single-threaded.
 */
final class SimulatedMember {
    private static final long NEVER_KILLED = -1;

    // Of the present process, or of the latest one if none runs
    private Membership protocol;
    private long initialIncarnation;
    private int processNumber;
    private boolean running;
    private long bytesSent;
    private long killedAtMicros = NEVER_KILLED;
    // Members that have detected the latest kill
    private final BitSet detectedBy;

    SimulatedMember(int memberCount) {
        detectedBy = new BitSet(memberCount);
    }

    /** A new process starts, whose incarnations begin with {@code incarnation}. */
    void start(Membership newProtocol, long incarnation) {
        protocol = newProtocol;
        initialIncarnation = incarnation;
        processNumber++;
        running = true;
        killedAtMicros = NEVER_KILLED;
    }

    /** Its process has left the cluster and ended. */
    void leave() {
        running = false;
    }

    /** Its process is killed at a time of the simulation in µs. */
    void kill(long nowMicros) {
        running = false;
        killedAtMicros = nowMicros;
        detectedBy.clear();
    }

    Membership protocol() {
        return protocol;
    }

    /** The first incarnation of the present process. */
    long initialIncarnation() {
        return initialIncarnation;
    }

    /** Counts the processes of this member, from 1. */
    int processNumber() {
        return processNumber;
    }

    boolean isRunning() {
        return running;
    }

    /** Whether its latest process was killed and no new one has started. */
    boolean isKilled() {
        return killedAtMicros != NEVER_KILLED;
    }

    /** Time of the simulation in µs of the latest kill; valid if {@link #isKilled}. */
    long killedAtMicros() {
        return killedAtMicros;
    }

    /** Records that another member detects the latest kill; false if it had before. */
    boolean addDetection(int observer) {
        boolean first = !detectedBy.get(observer);
        detectedBy.set(observer);
        return first;
    }

    void countSent(int bytes) {
        bytesSent += bytes;
    }

    /** Bytes sent by all processes of this member. */
    long bytesSent() {
        return bytesSent;
    }
}
