package loadbalancer.membership;

/** What is known of a member; of one incarnation, a later status beats an earlier one. */
public enum MemberStatus {
    /** Present. */
    ALIVE,
    /** Somebody can't reach it, directly or through others; it may say otherwise. */
    SUSPECTED,
    /** It did not say otherwise in time. */
    DEAD,
    /** It said that it leaves. */
    LEFT
}
