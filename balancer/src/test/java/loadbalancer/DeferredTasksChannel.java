package loadbalancer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;

/**
 * An embedded channel whose event loop can be made to run its tasks later, like that of a socket.
 * An {@link EmbeddedChannel} runs them within each call of its methods.
 */
public class DeferredTasksChannel extends EmbeddedChannel {
    private boolean deferringTasks;

    /** Creates a channel that runs its tasks immediately. */
    public DeferredTasksChannel(ChannelHandler... handlers) {
        super(handlers);
    }

    /** Stops running tasks until {@link #resumeTasks}. */
    public void deferTasks() {
        deferringTasks = true;
    }

    /** Runs the deferred tasks. */
    public void resumeTasks() {
        deferringTasks = false;
        runPendingTasks();
    }

    @Override
    public void runPendingTasks() {
        if (!deferringTasks) {
            super.runPendingTasks();
        }
    }
}
