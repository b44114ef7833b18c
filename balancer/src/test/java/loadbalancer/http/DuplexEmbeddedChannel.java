package loadbalancer.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import loadbalancer.DeferredTasksChannel;

/** An embedded channel whose output can be shut down separately, like that of a socket. */
final class DuplexEmbeddedChannel extends DeferredTasksChannel implements DuplexChannel {
    private boolean outputShutdown;

    @Override
    public boolean isOutputShutdown() {
        return outputShutdown;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        outputShutdown = true;
        return promise.setSuccess();
    }

    @Override
    public boolean isInputShutdown() {
        return false;
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        throw new UnsupportedOperationException("shutting down the input is not supported");
    }

    @Override
    public boolean isShutdown() {
        return outputShutdown;
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        throw new UnsupportedOperationException("shutting down the input is not supported");
    }
}
