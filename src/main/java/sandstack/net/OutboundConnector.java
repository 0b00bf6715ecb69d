package sandstack.net;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * One outbound connection attempt. Calls its listener once with the result, unless it is cancelled before. Used on the
 * event loop's thread only.
 */
@SuppressWarnings("rawtypes") // Grizzly declares the overridden methods with the raw type
final class OutboundConnector extends TCPNIOConnectorHandler implements EventLoop.PendingConnect {
    private final EmptyCompletionHandler<Connection> completionHandler;
    private Connection<?> connection;
    private boolean done;

    OutboundConnector(TCPNIOTransport transport, FilterChain chain, EventLoop.DialListener listener) {
        super(transport);
        setProcessor(chain);
        completionHandler = new EmptyCompletionHandler<>() {
            @Override
            public void completed(Connection result) {
                if (done) {
                    result.terminateSilently();
                    return;
                }
                done = true;
                listener.connected(result);
            }

            @Override
            public void failed(Throwable cause) {
                if (!done) {
                    done = true;
                    listener.failed();
                }
            }
        };
    }

    EmptyCompletionHandler<Connection> completionHandler() {
        return completionHandler;
    }

    @Override
    protected void preConfigure(Connection newConnection) {
        connection = newConnection;
        super.preConfigure(newConnection);
    }

    @Override
    public void cancel() {
        if (!done) {
            done = true;
            if (connection != null) {
                ((NIOConnection) connection).terminateSilently();
            }
        }
    }
}
