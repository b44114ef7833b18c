package junctionhead.lab.capacity;

import java.lang.management.ManagementFactory;

/** What is live on the heap. */
final class Heap {
    // What the first one frees may free more
    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** Bytes, after full collections. */
    static long live() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
