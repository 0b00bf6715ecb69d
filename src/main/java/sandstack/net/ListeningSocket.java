package sandstack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** A bound socket at which peers are accepted. {@link #pause} is called on the event loop's thread. */
public final class ListeningSocket {
    private final TCPNIOServerConnection server;

    ListeningSocket(TCPNIOServerConnection server) {
        this.server = server;
    }

    /** The port to which the socket is bound. */
    public int port() {
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /**
     * Stops accepting but leaves the socket open, so that connections in the kernel's accept queue stay there for
     * another process that shares the socket.
     */
    public void pause() throws IOException {
        server.disableIOEvent(IOEvent.SERVER_ACCEPT);
    }
}
