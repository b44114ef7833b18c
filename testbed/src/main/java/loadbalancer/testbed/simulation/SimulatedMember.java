package loadbalancer.testbed.simulation;

import java.util.BitSet;
import loadbalancer.membership.Membership;

/**
 * One member of a {@link MembershipSimulation}: holds the state of its current process and the
 * detections of its latest kill. Used only by the thread that runs the simulation.
 */
final class SimulatedMember {
    private static final long NEVER_KILLED = -1;

    // State machine of the current process, or of the latest one if no process is running.
    private Membership membership;
    private long initialIncarnation;
    private int processNumber;
    private boolean running;
    private long bytesSent;
    private long killedAtMicros = NEVER_KILLED;
    // Members that have detected the latest kill.
    private final BitSet detectedBy;

    SimulatedMember(int memberCount) {
        detectedBy = new BitSet(memberCount);
    }

    /** Starts a new process whose first incarnation is {@code incarnation}. */
    void start(Membership newMembership, long incarnation) {
        membership = newMembership;
        initialIncarnation = incarnation;
        processNumber++;
        running = true;
        killedAtMicros = NEVER_KILLED;
    }

    /** Records that the process has left the cluster and ended. */
    void leave() {
        running = false;
    }

    /** Records that the process is killed at a time of the simulation in µs. */
    void kill(long nowMicros) {
        running = false;
        killedAtMicros = nowMicros;
        detectedBy.clear();
    }

    Membership membership() {
        return membership;
    }

    /** Returns the first incarnation of the current process. */
    long initialIncarnation() {
        return initialIncarnation;
    }

    /** Returns the number of the current process, counted from 1. */
    int processNumber() {
        return processNumber;
    }

    boolean isRunning() {
        return running;
    }

    /** Returns whether the latest process was killed and no new one has started. */
    boolean isKilled() {
        return killedAtMicros != NEVER_KILLED;
    }

    /** Returns the time of the latest kill in µs of the simulation; valid if {@link #isKilled}. */
    long killedAtMicros() {
        return killedAtMicros;
    }

    /** Records a detection of the latest kill. Returns whether it is the observer's first one. */
    boolean addDetection(int observer) {
        boolean first = !detectedBy.get(observer);
        detectedBy.set(observer);
        return first;
    }

    void addBytesSent(int bytes) {
        bytesSent += bytes;
    }

    /** Returns the bytes that all processes of this member have sent. */
    long bytesSent() {
        return bytesSent;
    }
}
