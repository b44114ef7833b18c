package loadbalancer.lease;

/** Why a member no longer holds a slot. */
public enum ReleaseReason {
    /** The member shuts down. */
    LEAVING,
    /** Operators drain the member. */
    DRAINING,
    /** The preferred holder has been back for the handover delay. */
    TRANSFERRED,
    /** No majority renewed the lease in time. */
    EXPIRED,
    /** The member itself has acquired the slot under a higher epoch. */
    SUPERSEDED
}
