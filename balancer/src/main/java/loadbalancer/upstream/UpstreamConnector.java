package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.local.LocalChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.SocketAddress;
import loadbalancer.proxy.PeerReadAllocator;

/** Opens connections to endpoints and sets up their pipelines. Event loop thread only. */
final class UpstreamConnector {
    private static final int MAX_READS_PER_LOOP = 4;
    private static final ByteBufAllocator HEAP_ALLOCATOR = new UnpooledByteBufAllocator(false);

    private final PoolContext context;
    private final Bootstrap bootstrap;
    private final SocketAddress inProcessAddress;

    /**
     * Creates a connector.
     *
     * @param inProcessAddress the address of all endpoints within this process, or null to connect
     *     to each endpoint's own address
     */
    UpstreamConnector(
            PoolContext context, int connectTimeoutMillis, SocketAddress inProcessAddress) {
        this.context = context;
        this.inProcessAddress = inProcessAddress;
        this.bootstrap =
                new Bootstrap()
                        .group(context.loop())
                        .option(ChannelOption.ALLOCATOR, HEAP_ALLOCATOR)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new PeerReadAllocator(context.memory(), MAX_READS_PER_LOOP, false))
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
        if (inProcessAddress == null) {
            bootstrap
                    .channelFactory(StaleCheckSocketChannel::new)
                    .option(ChannelOption.TCP_NODELAY, true);
        } else {
            bootstrap.channel(LocalChannel.class);
        }
    }

    /** Opens a connection that writes {@code request} once it is established. */
    void connect(EndpointPool endpoint, UpstreamRequest request) {
        UpstreamConnection connection = new UpstreamConnection(context, endpoint);
        connection.assign(request);
        context.onConnectionOpened();
        SocketAddress address = inProcessAddress == null ? endpoint.address() : inProcessAddress;
        connection.open(bootstrap.clone().handler(pipelineFor(connection)).connect(address));
    }

    private ChannelInitializer<Channel> pipelineFor(UpstreamConnection connection) {
        ResponseReader responseReader = new ResponseReader(context, connection);
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                connection,
                                responseReader.decoder(),
                                new HttpRequestEncoder(),
                                responseReader);
            }
        };
    }
}
