package loadbalancer.storage;

import java.util.Locale;

/** The reason why bytes are not a valid snapshot of the expected owner. */
public enum Corruption {
    /** The file is shorter than the smallest snapshot, or can't be read. */
    TRUNCATED,
    /** The file does not start with the magic number of a snapshot. */
    BAD_MAGIC,
    /** The format version is not the one that this program reads. */
    UNSUPPORTED_VERSION,
    /** A length field does not match the length of the file. */
    LENGTH_MISMATCH,
    /** The checksum does not match: the bytes have changed since they were written. */
    CHECKSUM_MISMATCH,
    /** The snapshot belongs to another balancer. */
    WRONG_OWNER,
    /** The sequence number in the file differs from the one in its name. */
    SEQUENCE_MISMATCH;

    /** Returns the reason as log lines show it, for example {@code bad magic}. */
    public String description() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
