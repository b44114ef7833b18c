package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** Listening socket whose accepted connections tell how much they have received. */
final class ClientServerChannel extends NioServerSocketChannel {
    ClientServerChannel() {}

    /** Uses a socket that is listening already. */
    ClientServerChannel(ServerSocketChannel socket) {
        super(socket);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws IOException {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        accepted.add(new ClientSocketChannel(this, socket));
        return 1;
    }

    /** A client's connection. Confined to the event loop. */
    static final class ClientSocketChannel extends NioSocketChannel {
        ClientSocketChannel(Channel parent, SocketChannel socket) {
            super(parent, socket);
        }

        /** Returns the number of bytes in the receive buffer; 0 if that is not known. */
        int unreadBytes() {
            try {
                return javaChannel().socket().getInputStream().available();
            } catch (IOException e) {
                // The connection has ended, or the system does not tell.
                return 0;
            }
        }
    }
}
