package sandstack.front.amqp;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.engine.IncomingDelivery;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * Forwards transfers from a receiver to a sender, credit from the sender to the receiver, and dispositions in both
 * directions. Receiver and sender are the relay's link endpoints: the receiver's peer sends the deliveries, the
 * sender's peer receives them. A settlement by one peer is forwarded to the other; the forwarder itself settles only
 * aborted deliveries and deliveries that an earlier connection has already forwarded. Used on the event loop's thread
 * only.
 */
final class TransferForwarder {
    private final Receiver receiver;
    private final AmqpConnection receiverConnection;
    private final Sender sender;
    private final AmqpConnection senderConnection;
    private final DeliveryTracker tracker;
    private final DeliveryTracker earlierDeliveries;
    /** Bytes of {@link #incoming} that have been received and not yet been sent. */
    private final Deque<ProtonBuffer> backlog = new ArrayDeque<>();
    /** The delivery that is being sent; null if there is none. */
    private OutgoingDelivery outgoing;
    /** The delivery from which {@link #outgoing} is forwarded. */
    private IncomingDelivery incoming;

    /**
     * Creates a forwarder that does nothing before {@link #start}.
     *
     * @param tracker records the state of each delivery; null if the client receives the deliveries
     * @param earlierDeliveries deliveries that an earlier connection of this link left unsettled; null if there are
     *     none
     */
    TransferForwarder(
            Receiver receiver,
            AmqpConnection receiverConnection,
            Sender sender,
            AmqpConnection senderConnection,
            DeliveryTracker tracker,
            DeliveryTracker earlierDeliveries) {
        this.receiver = receiver;
        this.receiverConnection = receiverConnection;
        this.sender = sender;
        this.senderConnection = senderConnection;
        this.tracker = tracker;
        this.earlierDeliveries = earlierDeliveries;
    }

    void start() {
        receiver.deliveryReadHandler(delivery -> senderConnection.runGuarded(() -> onDelivery(delivery)));
        receiver.deliveryAbortedHandler(delivery -> senderConnection.runGuarded(() -> onAborted(delivery)));
        receiver.creditStateUpdateHandler(r -> senderConnection.runGuarded(this::onCreditUsed));
        sender.creditStateUpdateHandler(s -> receiverConnection.runGuarded(this::updateCredit));
        updateCredit();
    }

    /**
     * Raises the receiver's credit to that of the sender, and forwards a drain request. The relay forwards credit and
     * never grants additional credit. Also runs when the sender's session window opens, so it sends the backlog first.
     */
    private void updateCredit() {
        senderConnection.runGuarded(this::sendBacklog);
        int additional = sender.getCredit() - receiver.getCredit();
        if (additional > 0) {
            receiver.addCredit(additional);
        }
        if (sender.isDraining() && !receiver.isDraining()) {
            if (receiver.getCredit() > 0) {
                receiver.drain();
            } else {
                senderConnection.runGuarded(sender::drained);
            }
        }
    }

    private void onCreditUsed() {
        if (sender.isDraining() && receiver.getCredit() == 0) {
            sender.drained();
        }
    }

    private void onDelivery(IncomingDelivery delivery) {
        OutgoingDelivery forwarded = delivery.getLinkedResource(OutgoingDelivery.class);
        Binary tag = tagOf(delivery);
        if (forwarded == null) {
            if (earlierDeliveries != null && earlierDeliveries.contains(tag)) {
                answerFromEarlierState(delivery, tag);
                return;
            }
            forwarded = createForwarded(delivery, tag);
        }
        ProtonBuffer bytes = delivery.readAll();
        if (bytes != null) {
            backlog.add(bytes);
        }
        outgoing = forwarded;
        incoming = delivery;
        if (!delivery.isPartial() && tracker != null && !delivery.isRemotelySettled()) {
            tracker.onForwarded(tag);
        }
        sendBacklog();
    }

    private OutgoingDelivery createForwarded(IncomingDelivery delivery, Binary tag) {
        OutgoingDelivery forwarded = sender.next();
        forwarded.setTag(delivery.getTag().tagBytes());
        forwarded.setMessageFormat(delivery.getMessageFormat());
        delivery.setLinkedResource(forwarded);
        forwarded.deliveryStateUpdatedHandler(
                updated -> receiverConnection.runGuarded(() -> onOutgoingDisposition(delivery, forwarded, tag)));
        delivery.deliveryStateUpdatedHandler(
                updated -> senderConnection.runGuarded(() -> onIncomingDisposition(delivery, forwarded, tag)));
        return forwarded;
    }

    private void sendBacklog() {
        while (outgoing != null) {
            ProtonBuffer next = backlog.peek();
            boolean last = !incoming.isPartial() && backlog.size() <= 1;
            if (next == null && !last) {
                break;
            }
            if (last && incoming.isRemotelySettled() && !outgoing.isSettled()) {
                outgoing.settle();
            }
            outgoing.streamBytes(next == null ? empty() : next, last);
            if (next != null && next.isReadable()) {
                // the session window is full: the rest is sent when the window opens
                break;
            }
            backlog.poll();
            if (last) {
                outgoing = null;
                incoming = null;
            }
        }
        updateReading();
    }

    private void updateReading() {
        if (!backlog.isEmpty() || senderConnection.isOutputFull()) {
            receiverConnection.pauseReading();
        } else {
            receiverConnection.resumeReading();
        }
    }

    /** Called when all pending output of one of the two connections has been written. */
    void onFlushed() {
        updateReading();
    }

    private static ProtonBuffer empty() {
        return ProtonBufferAllocator.defaultAllocator().allocate(0);
    }

    private void onAborted(IncomingDelivery delivery) {
        OutgoingDelivery forwarded = delivery.getLinkedResource(OutgoingDelivery.class);
        backlog.clear();
        outgoing = null;
        incoming = null;
        if (forwarded != null) {
            forwarded.abort();
        }
        delivery.settle();
    }

    /** Answers a delivery that an earlier connection of this link has forwarded, instead of forwarding it again. */
    private void answerFromEarlierState(IncomingDelivery delivery, Binary tag) {
        delivery.readAll();
        if (delivery.isPartial()) {
            return;
        }
        DeliveryState state = earlierDeliveries.state(tag);
        earlierDeliveries.remove(tag);
        if (!delivery.isRemotelySettled()) {
            // without a state it is unknown whether the feed server accepted the delivery: MODIFIED lets the client
            // decide whether to send it again under a new tag
            delivery.disposition(state != null ? state : new Modified().setDeliveryFailed(true), true);
        } else {
            delivery.settle();
        }
        receiverConnection.runGuarded(this::updateCredit);
    }

    /** Forwards a disposition of the outgoing delivery, sent by the peer of {@link #sender}. */
    private void onOutgoingDisposition(IncomingDelivery delivery, OutgoingDelivery forwarded, Binary tag) {
        if (tracker != null) {
            tracker.onState(tag, forwarded.getRemoteState());
        }
        if (!delivery.isSettled()) {
            delivery.disposition(forwarded.getRemoteState(), forwarded.isRemotelySettled());
        }
        if (forwarded.isRemotelySettled() && !forwarded.isSettled()) {
            forwarded.settle();
        }
    }

    /** Forwards a disposition of the incoming delivery, sent by the peer of {@link #receiver}. */
    private void onIncomingDisposition(IncomingDelivery delivery, OutgoingDelivery forwarded, Binary tag) {
        if (tracker != null && delivery.isRemotelySettled()) {
            tracker.remove(tag);
        }
        if (!forwarded.isSettled()) {
            forwarded.disposition(delivery.getRemoteState(), delivery.isRemotelySettled());
        }
        if (delivery.isRemotelySettled() && !delivery.isSettled()) {
            delivery.settle();
        }
    }

    private static Binary tagOf(IncomingDelivery delivery) {
        return new Binary(delivery.getTag().tagBytes());
    }
}
