package sandstack.net;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Processes I/O events on the selector's thread. Write readiness flushes the {@link Peer}'s buffer, as output bypasses
 * Grizzly's own write queue.
 */
@SuppressWarnings("rawtypes") // Grizzly declares the overridden methods with the raw type
final class PeerIoStrategy implements IOStrategy {
    private final IOStrategy sameThread = SameThreadIOStrategy.getInstance();

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
        return executeIoEvent(connection, event, true);
    }

    @Override
    public boolean executeIoEvent(Connection connection, IOEvent event, boolean enabled) throws IOException {
        Peer peer = event == IOEvent.WRITE ? Peer.of(connection) : null;
        if (peer != null) {
            peer.runGuarded(peer::onWritable);
            return true;
        }
        if (!connection.isOpen()) {
            // the relay has closed the connection since the event was selected
            return true;
        }
        return sameThread.executeIoEvent(connection, event, enabled);
    }

    @Override
    public Executor getThreadPoolFor(Connection connection, IOEvent event) {
        return sameThread.getThreadPoolFor(connection, event);
    }

    @Override
    public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
        return sameThread.createDefaultWorkerPoolConfig(transport);
    }
}
