package loadbalancer.testbed.capacity;

import java.lang.management.ManagementFactory;

/** Measures the live part of this JVM's heap. Stateless. */
final class HeapUsage {
    // Several collections, since one may make further objects collectable.
    private static final int COLLECTION_COUNT = 3;

    private HeapUsage() {}

    /** Returns the live bytes of the heap, after full collections. */
    static long liveBytes() {
        for (int i = 0; i < COLLECTION_COUNT; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
