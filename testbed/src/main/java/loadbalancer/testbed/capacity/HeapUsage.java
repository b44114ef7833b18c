package loadbalancer.testbed.capacity;

import java.lang.management.ManagementFactory;

/** The live part of this JVM's heap. Stateless. */
final class HeapUsage {
    // What one collection frees may make further objects collectable.
    private static final int COLLECTION_COUNT = 3;

    private HeapUsage() {}

    /** The live bytes, after full collections. */
    static long liveBytes() {
        for (int i = 0; i < COLLECTION_COUNT; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
