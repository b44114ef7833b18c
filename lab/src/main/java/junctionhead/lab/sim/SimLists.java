package junctionhead.lab.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junctionhead.Policy;

/**
 * Discovery's list and all that has changed of it since the start, once for the whole fleet. Agents
 * hear changes in one order, so that what one of them has follows from how many it has heard.
 */
final class SimLists {
    private final List<Policy.Server> changes = new ArrayList<>();
    private final List<Policy.Server> first;
    // The list last asked for
    private List<Policy.Server> made;
    // Changes in it
    private int madeOf;

    SimLists(List<Policy.Server> first) {
        this.first = List.copyOf(first);
        this.made = this.first;
    }

    void changed(Policy.Server entry) {
        changes.add(entry);
    }

    /** The change of that number, from 0. */
    Policy.Server change(int number) {
        return changes.get(number);
    }

    /** The list after so many changes: one and the same for all who ask. */
    List<Policy.Server> after(int count) {
        if (count != madeOf) {
            Map<String, Policy.Server> list = new LinkedHashMap<>();
            first.forEach(s -> list.put(s.id(), s));
            for (Policy.Server entry : changes.subList(0, count)) {
                if (entry.state() == Policy.State.GONE) {
                    list.remove(entry.id());
                } else {
                    list.put(entry.id(), entry);
                }
            }
            made = List.copyOf(list.values());
            madeOf = count;
        }
        return made;
    }
}
