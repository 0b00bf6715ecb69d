package sandstack.front.amqp;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.EngineHandlerContext;
import org.apache.qpid.protonj2.engine.IncomingAMQPEnvelope;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.Attach;
import org.apache.qpid.protonj2.types.transport.Begin;
import org.apache.qpid.protonj2.types.transport.Close;
import org.apache.qpid.protonj2.types.transport.Detach;
import org.apache.qpid.protonj2.types.transport.End;
import org.apache.qpid.protonj2.types.transport.Flow;
import org.apache.qpid.protonj2.types.transport.Open;
import org.apache.qpid.protonj2.types.transport.Transfer;

/**
 * Bounds and counts what the engine of one connection keeps of the performatives that it receives. Removes the fields
 * that the relay neither uses nor forwards, and reports the heap of the others. Used on the event loop's thread only.
 */
final class RetainedPerformatives implements EngineHandler {
    private static final Symbol[] NO_SYMBOLS = null;

    /** In place of a handle or of a channel: the session as a whole, or the connection. */
    private static final int NONE = -1;

    /** Identifies the connection, a session or a link of the other side. */
    private record EndpointId(int channel, long handle) {}

    private final LongConsumer heapChanged;
    private final Map<EndpointId, Long> retainedBytes = new HashMap<>();
    /** The link that the other side has attached first; null before. */
    private EndpointId firstLink;

    /**
     * Creates a handler for a connection that has received nothing.
     *
     * @param heapChanged receives each change of the heap that the engine keeps, in bytes
     */
    RetainedPerformatives(LongConsumer heapChanged) {
        this.heapChanged = heapChanged;
    }

    @Override
    public void handleRead(EngineHandlerContext context, IncomingAMQPEnvelope envelope) {
        int channel = envelope.getChannel();
        if (envelope.getBody() instanceof Open open) {
            onOpen(open);
        } else if (envelope.getBody() instanceof Begin begin) {
            removeUnused(begin);
        } else if (envelope.getBody() instanceof Attach attach) {
            onAttach(channel, attach);
        } else if (envelope.getBody() instanceof Flow flow) {
            flow.setProperties(null);
        } else if (envelope.getBody() instanceof Transfer transfer) {
            transfer.clearState();
        } else if (envelope.getBody() instanceof Detach detach) {
            retain(new EndpointId(channel, detach.getHandle()), detach.getError());
        } else if (envelope.getBody() instanceof End end) {
            releaseSession(channel);
            retain(new EndpointId(channel, NONE), end.getError());
        } else if (envelope.getBody() instanceof Close close) {
            retain(new EndpointId(NONE, NONE), close.getError());
        }
        context.fireRead(envelope);
    }

    private void onOpen(Open open) {
        open.setOutgoingLocales(NO_SYMBOLS);
        open.setIncomingLocales(NO_SYMBOLS);
        open.setOfferedCapabilities(NO_SYMBOLS);
        open.setDesiredCapabilities(NO_SYMBOLS);
        open.setProperties(null);
        heapChanged.accept(DecodedHeap.bytesOf(open.getContainerId(), open.getHostname()));
    }

    private static void removeUnused(Begin begin) {
        begin.setOfferedCapabilities(NO_SYMBOLS);
        begin.setDesiredCapabilities(NO_SYMBOLS);
        begin.setProperties(null);
    }

    private void onAttach(int channel, Attach attach) {
        EndpointId link = new EndpointId(channel, attach.getHandle());
        attach.setOfferedCapabilities(NO_SYMBOLS);
        attach.setDesiredCapabilities(NO_SYMBOLS);
        if (firstLink == null) {
            firstLink = link;
        } else {
            // a connection carries one link; all others are rejected, whatever they ask for
            attach.setSource(null);
            attach.setTarget((Target) null);
            attach.setUnsettled(null);
            attach.setProperties(null);
        }
        retain(
                link,
                attach.getName(),
                attach.getSource(),
                attach.getTarget(),
                attach.getUnsettled(),
                attach.getProperties());
    }

    /** Counts these values of an endpoint in place of those that it had before. */
    private void retain(EndpointId endpoint, Object... values) {
        long bytes = DecodedHeap.bytesOf(values);
        Long bytesBefore = retainedBytes.put(endpoint, bytes);
        heapChanged.accept(bytes - (bytesBefore == null ? 0 : bytesBefore));
    }

    private void releaseSession(int channel) {
        for (EndpointId endpoint : List.copyOf(retainedBytes.keySet())) {
            if (endpoint.channel() == channel) {
                heapChanged.accept(-retainedBytes.remove(endpoint));
            }
        }
    }
}
