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
 * Handles the unsettled maps of attach performatives, which the engine does not expose: keeps the client's map, and
 * writes the states of the client's earlier deliveries into the relay's attach. Used on the event loop's thread only.
 */
final class UnsettledMapHandler implements EngineHandler {
    private Map<Binary, DeliveryState> clientUnsettled;
    private DeliveryTracker earlierDeliveries;

    /** The unsettled map that the client has sent; null if it has sent none. */
    Map<Binary, DeliveryState> clientUnsettled() {
        return clientUnsettled;
    }

    /** Sets the deliveries whose states the relay's attach contains; null for none. */
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
