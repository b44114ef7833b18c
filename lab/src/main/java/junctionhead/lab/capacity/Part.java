package junctionhead.lab.capacity;

/** What hollow balancers consist of. */
enum Part {
    MODULE,
    MEMBERSHIP,
    DUTIES
}
