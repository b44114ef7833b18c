package loadbalancer.proxy;

/**
 * The part of {@link PeerMemory} that one request, response or decoder uses. A request holds it
 * from its head until its response is written and its last attempt has ended: the connection and
 * the dispatcher both hold it, and the last of them releases it. Requests that are pipelined behind
 * another one also count against a smaller limit. Confined to the event loop.
 */
public final class MemoryReservation {
    /**
     * Bytes that are granted in any case, unless the request is pipelined, so that short requests
     * are served while others use up the memory. The number of connections limits their sum.
     */
    public static final int MAX_FREE_BYTES = 8 * 1024;

    private final PeerMemory memory;
    private int bytes;
    private boolean pipelined;
    private int holders = 1;

    /** Creates a reservation without any bytes. */
    public MemoryReservation(PeerMemory memory, boolean pipelined) {
        this.memory = memory;
        this.pipelined = pipelined;
    }

    /**
     * Reserves more memory.
     *
     * @param neededBytes the bytes that the request needs from now on, in all
     * @return false if they exceed a limit; the reservation is then unchanged
     */
    public boolean growTo(int neededBytes) {
        int additionalBytes = neededBytes - bytes;
        if (additionalBytes <= 0) {
            return true;
        }
        boolean isFree = !pipelined && neededBytes <= MAX_FREE_BYTES;
        if (!isFree && !budget().fits(additionalBytes)) {
            return false;
        }
        add(additionalBytes);
        return true;
    }

    /**
     * Reserves more memory, or releases some.
     *
     * @return false if the new size exceeds a limit; the reservation is then unchanged
     */
    public boolean resizeTo(int neededBytes) {
        if (neededBytes < bytes) {
            add(neededBytes - bytes);
        }
        return growTo(neededBytes);
    }

    /** Returns the reserved bytes. */
    public int bytes() {
        return bytes;
    }

    /** Counts memory that is in use already, even if it exceeds a limit. */
    public void add(int additionalBytes) {
        bytes += additionalBytes;
        budget().reserve(additionalBytes);
    }

    private MemoryBudget budget() {
        return pipelined ? memory.pipelined() : memory.total();
    }

    /** Records that the request is no longer behind another one. */
    public void onTurn() {
        if (pipelined) {
            memory.pipelined().release(bytes);
            pipelined = false;
            memory.total().reserve(bytes);
        }
    }

    /** Adds a holder, which calls {@link #release} once. */
    public void retain() {
        holders++;
    }

    /** Removes a holder, and releases the memory with the last one. */
    public void release() {
        holders--;
        if (holders == 0) {
            budget().release(bytes);
            bytes = 0;
        }
    }
}
