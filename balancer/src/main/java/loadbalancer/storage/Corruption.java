package loadbalancer.storage;

import java.util.Locale;

/** Why bytes are no snapshot of this program and owner. */
public enum Corruption {
    /** Shorter than any snapshot, or unreadable. */
    TRUNCATED,
    /** Another kind of file. */
    BAD_MAGIC,
    /** Written in a format that this version does not know. */
    UNSUPPORTED_VERSION,
    /** A length field contradicts the length of the file. */
    LENGTH_MISMATCH,
    /** The bytes have changed since they were written. */
    CHECKSUM_MISMATCH,
    /** A snapshot of another balancer. */
    WRONG_OWNER,
    /** The sequence in the file is not that of its name. */
    SEQUENCE_MISMATCH;

    /** The reason as it stands in log lines, for example {@code bad magic}. */
    public String description() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
