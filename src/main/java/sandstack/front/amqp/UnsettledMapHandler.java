package sandstack.front.amqp;

import java.util.Map;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.EngineHandlerContext;
import org.apache.qpid.protonj2.engine.IncomingAMQPEnvelope;
import org.apache.qpid.protonj2.engine.OutgoingAMQPEnvelope;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.transport.Attach;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * Handles the unsettled maps of attaches, which the engine does not expose: keeps the client's, and writes the states
 * of its earlier deliveries into the answer. Used on the loop's thread only.
 */
final class UnsettledMapHandler implements EngineHandler {
    private Map<Binary, DeliveryState> clientUnsettled;
    private DeliveryTracker earlierDeliveries;

    /** The client's unsettled map; null if it has sent none. */
    Map<Binary, DeliveryState> clientUnsettled() {
        return clientUnsettled;
    }

    /** Sets the deliveries that are written into the answer; null for none. */
    void setEarlierDeliveries(DeliveryTracker deliveries) {
        earlierDeliveries = deliveries;
    }

    @Override
    public void handleRead(EngineHandlerContext context, IncomingAMQPEnvelope envelope) {
        if (envelope.getBody() instanceof Attach attach && attach.getUnsettled() != null) {
            clientUnsettled = attach.getUnsettled();
        }
        context.fireRead(envelope);
    }

    @Override
    public void handleWrite(EngineHandlerContext context, OutgoingAMQPEnvelope envelope) {
        if (envelope.getBody() instanceof Attach attach && earlierDeliveries != null && !earlierDeliveries.isEmpty()) {
            attach.setUnsettled(earlierDeliveries.unsettledStates());
        }
        context.fireWrite(envelope);
    }
}
