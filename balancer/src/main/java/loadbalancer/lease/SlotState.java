package loadbalancer.lease;

/** One slot, as a holder or candidate sees it. */
final class SlotState {
    final int slot;
    final int[] voters;
    // Null: not held here
    GrantTally active;
    // Asked for; beside one that is held: a higher epoch
    GrantTally candidate;
    long requestDeadlineMicros;
    int resends;
    // To those that have not granted it yet
    long resendAtMicros;
    long nextRequestMicros;
    long renewAtMicros;
    int denials;
    // The member that should hold it
    int preferredHolder = -1;
    // One that said that it does not want to
    int resignedMember = -1;
    long resignedUntilMicros;
    // Somebody else than this holder
    long betterHolderSinceMicros = Long.MAX_VALUE;

    SlotState(int slot, int[] voters) {
        this.slot = slot;
        this.voters = voters;
    }

    SlotState(SlotState other) {
        this(other.slot, other.voters);
        active = other.active == null ? null : new GrantTally(other.active);
        candidate = other.candidate == null ? null : new GrantTally(other.candidate);
        requestDeadlineMicros = other.requestDeadlineMicros;
        resends = other.resends;
        resendAtMicros = other.resendAtMicros;
        nextRequestMicros = other.nextRequestMicros;
        renewAtMicros = other.renewAtMicros;
        denials = other.denials;
        preferredHolder = other.preferredHolder;
        resignedMember = other.resignedMember;
        resignedUntilMicros = other.resignedUntilMicros;
        betterHolderSinceMicros = other.betterHolderSinceMicros;
    }
}
