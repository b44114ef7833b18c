package junctionhead.lab.sim;

import java.util.List;
import java.util.function.Consumer;
import junctionhead.Policy;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery's agent of one balancer in simulated time: how much of the list's changes it has heard,
 * and the ways in which news don't come.
 */
final class SimNews {
    private final Timeline time;
    private final UniformRandomProvider random;
    private final List<Double> delayMs;
    private final SimLists lists;
    private final Consumer<Policy.Server> told;
    private long last;
    private long late;
    private int mute;
    // Changes that have come to the agent
    private int come;
    // Of those, what it has passed on
    private int heard;

    /** {@code told} hears each change when the balancer does; {@code delayMs}: least and most. */
    SimNews(
            Timeline time,
            UniformRandomProvider random,
            List<Double> delayMs,
            SimLists lists,
            Consumer<Policy.Server> told) {
        this.time = time;
        this.random = random;
        this.delayMs = delayMs;
        this.lists = lists;
        this.told = told;
    }

    /** The list as the agent has it. */
    List<Policy.Server> list() {
        return lists.after(heard);
    }

    /** Something has changed: the agent hears of it after its delay, and in order. */
    void change() {
        long drawn =
                Math.round(
                        1e3
                                * (delayMs.get(0)
                                        + random.nextDouble() * (delayMs.get(1) - delayMs.get(0))));
        last = Math.max(last, time.now() + drawn + late);
        time.at(last, this::comes);
    }

    private void comes() {
        come++;
        pass();
    }

    private void pass() {
        while (mute == 0 && heard < come) {
            told.accept(lists.change(heard++));
        }
    }

    /** News take that much longer, or (negative) no longer. */
    void late(long by) {
        late += by;
    }

    void mute(boolean on) {
        mute += on ? 1 : -1;
        pass();
    }
}
