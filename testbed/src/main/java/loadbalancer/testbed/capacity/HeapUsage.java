package loadbalancer.testbed.capacity;

import java.lang.management.ManagementFactory;

/** What is live on the heap. */
final class HeapUsage {
    // What the first one frees may free more
    private static final int COLLECTION_COUNT = 3;

    private HeapUsage() {}

    /** Bytes, after full collections. */
    static long liveBytes() {
        for (int i = 0; i < COLLECTION_COUNT; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
