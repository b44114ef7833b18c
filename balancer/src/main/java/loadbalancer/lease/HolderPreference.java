package loadbalancer.lease;

/**
 * Which member should hold one slot: the first by rendezvous hashing that is present, but for one
 * that has said that it does not want it.
 */
final class HolderPreference {
    private static final int NO_MEMBER = RendezvousPlacement.NO_MEMBER;

    private final int slot;
    private int preferredMember = NO_MEMBER;
    // The preferred member that transferred the slot; it may hold it again after that time.
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

    /** The member that should hold the slot, or {@link RendezvousPlacement#NO_MEMBER}. */
    int preferredMember() {
        return preferredMember;
    }

    /** Places the slot anew: the view, this member's draining or a resignation has changed. */
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

    /** Prefers another member for good: this one leaves. */
    void excludeSelf(LeaseContext context) {
        preferredMember =
                RendezvousPlacement.preferredHolder(
                        slot,
                        context.memberCount(),
                        member -> member != context.self() && context.isPresent(member));
    }

    /** Whether this member would be preferred if it were not draining. */
    boolean prefersSelfIgnoringDraining(LeaseContext context) {
        return context.self()
                == RendezvousPlacement.preferredHolder(
                        slot,
                        context.memberCount(),
                        member -> member == context.self() || context.isPresent(member));
    }

    /**
     * Another member gives up the slot. If it is the preferred one, it leaves and the view will say
     * so later, or it is draining and repeats this message.
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

    /** A member that requests the slot wants it again. */
    void onRequest(int from, LeaseContext context) {
        if (resignedMember == from) {
            resignedMember = NO_MEMBER;
            update(context);
        }
    }

    /** Forgets a resignation that was not repeated in time. */
    void expireResignation(LeaseContext context, long nowMicros) {
        if (resignedMember != NO_MEMBER && nowMicros >= resignedUntilMicros) {
            resignedMember = NO_MEMBER;
            update(context);
        }
    }

    /** When {@link #expireResignation} is due; {@link Long#MAX_VALUE}: not at all. */
    long nextTickMicros() {
        return resignedMember == NO_MEMBER ? Long.MAX_VALUE : resignedUntilMicros;
    }

    /** State as a number, times relative to {@code nowMicros}. */
    long fingerprint(long nowMicros) {
        return resignedMember * 11L
                + Math.max(0, resignedUntilMicros - nowMicros)
                + preferredMember * 13L;
    }
}
