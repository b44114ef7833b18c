package loadbalancer.proxy;

/** Arithmetic on the sizes of buffers. */
public final class ByteSizes {
    private ByteSizes() {}

    /** Returns the capacity that a growing buffer takes for {@code bytes}. */
    public static int nextPowerOfTwo(int bytes) {
        return bytes <= 1 ? bytes : Integer.highestOneBit(bytes - 1) << 1;
    }
}
