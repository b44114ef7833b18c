package loadbalancer.lease;

/** Reason why a member no longer holds a slot. */
public enum ReleaseReason {
    /** The member is shutting down. */
    LEAVING,
    /** The member is being drained. */
    DRAINING,
    /** Another member has been the preferred holder for the handover delay. */
    TRANSFERRED,
    /** No majority renewed the lease in time. */
    EXPIRED,
    /** The member itself has acquired the slot under a higher epoch. */
    SUPERSEDED
}
