package loadbalancer.lease;

/**
 * Determines which member should hold one slot: the first present member by rendezvous hashing,
 * except one that has resigned, that is, has sent a transfer because it is leaving or draining.
 * Only the caller's event loop uses this class.
 */
final class HolderPreference {
    private static final int NO_MEMBER = RendezvousPlacement.NO_MEMBER;

    private final int slot;
    private int preferredMember = NO_MEMBER;
    // The member that transferred the slot while it was preferred, or NO_MEMBER. It is not
    // preferred again before resignedUntilMicros.
    private int resignedMember = NO_MEMBER;
    private long resignedUntilMicros;

    HolderPreference(int slot) {
        this.slot = slot;
    }

    HolderPreference(HolderPreference other) {
        slot = other.slot;
        preferredMember = other.preferredMember;
        resignedMember = other.resignedMember;
        resignedUntilMicros = other.resignedUntilMicros;
    }

    /** Returns the member that should hold the slot, or {@link RendezvousPlacement#NO_MEMBER}. */
    int preferredMember() {
        return preferredMember;
    }

    /**
     * Recomputes the preferred member. Has to be called after a change of the view, of this
     * member's draining, or of a resignation.
     */
    void update(LeaseContext context) {
        if (resignedMember != NO_MEMBER && !context.isPresent(resignedMember)) {
            resignedMember = NO_MEMBER;
        }
        preferredMember =
                RendezvousPlacement.preferredHolder(
                        slot, context.memberCount(), member -> isEligible(member, context));
    }

    private boolean isEligible(int member, LeaseContext context) {
        return member == context.self()
                ? !context.isDraining()
                : context.isPresent(member) && member != resignedMember;
    }

    /** Prefers another member from now on, because this one leaves. */
    void excludeSelf(LeaseContext context) {
        preferredMember =
                RendezvousPlacement.preferredHolder(
                        slot,
                        context.memberCount(),
                        member -> member != context.self() && context.isPresent(member));
    }

    /** Returns whether this member would be preferred if it were not draining. */
    boolean prefersSelfIgnoringDraining(LeaseContext context) {
        return context.self()
                == RendezvousPlacement.preferredHolder(
                        slot,
                        context.memberCount(),
                        member -> member == context.self() || context.isPresent(member));
    }

    /**
     * Handles the transfer of the slot by another member. If that member is the preferred one, it
     * is either leaving, which the view shows later, or draining, in which case it repeats the
     * message.
     */
    void onTransfer(int from, LeaseContext context, long nowMicros) {
        if (preferredMember == from) {
            resignedMember = from;
        }
        if (resignedMember == from) {
            resignedUntilMicros = nowMicros + context.timing().handoverDelayMicros();
        }
        update(context);
    }

    /** Ends the resignation of a member that requests the slot again. */
    void onRequest(int from, LeaseContext context) {
        if (resignedMember == from) {
            resignedMember = NO_MEMBER;
            update(context);
        }
    }

    /** Ends a resignation that was not repeated in time. */
    void expireResignation(LeaseContext context, long nowMicros) {
        if (resignedMember != NO_MEMBER && nowMicros >= resignedUntilMicros) {
            resignedMember = NO_MEMBER;
            update(context);
        }
    }

    /** Returns when {@link #expireResignation} is due, µs; {@link Long#MAX_VALUE} if never. */
    long nextTickMicros() {
        return resignedMember == NO_MEMBER ? Long.MAX_VALUE : resignedUntilMicros;
    }

    /** Returns a hash of the state, with times relative to {@code nowMicros}. */
    long fingerprint(long nowMicros) {
        return resignedMember * 11L
                + Math.max(0, resignedUntilMicros - nowMicros)
                + preferredMember * 13L;
    }
}
