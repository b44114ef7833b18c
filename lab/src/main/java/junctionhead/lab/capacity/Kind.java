package junctionhead.lab.capacity;

import junctionhead.duties.Word;
import junctionhead.membership.Message;

/**
 * What the control of a balancer costs something for. The first three are kinds of datagrams too.
 */
enum Kind {
    /** What modules tell one another; as CPU, the taking in of it. */
    WORD("word"),
    MEMBERSHIP("membership"),
    DUTIES("duties"),
    /** Lists of servers and changes of them. */
    LIST("list"),
    /** The module's own wakes, in which its word is written, and its requests. */
    MODULE("module");

    private final String key;

    Kind(String key) {
        this.key = key;
    }

    /** The kind of a datagram. */
    static Kind of(byte[] datagram) {
        return Message.claims(datagram) ? MEMBERSHIP : Word.claims(datagram) ? DUTIES : WORD;
    }

    /** As figures are named. */
    String key() {
        return key;
    }
}
