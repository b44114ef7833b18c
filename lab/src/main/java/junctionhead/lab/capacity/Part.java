package junctionhead.lab.capacity;

/** What hollow balancers consist of. */
enum Part {
    MODULE("module"),
    MEMBERSHIP("membership"),
    DUTIES("duties");

    private final String key;

    Part(String key) {
        this.key = key;
    }

    /** As {@code --parts} names it. */
    String key() {
        return key;
    }
}
