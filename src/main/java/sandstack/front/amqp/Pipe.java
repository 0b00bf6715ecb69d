package sandstack.front.amqp;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.engine.IncomingDelivery;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * Passes transfers one way, and credit and dispositions both ways. Nothing is settled here: a delivery is
 * settled when both ends have.
 */
final class Pipe {
    /** So much may wait at the writing side before the reading side stops. */
    private static final int MOST_WAITING = 64 * 1024;

    private final Receiver in;
    private final AmqpSocket inSocket;
    private final Sender out;
    private final AmqpSocket outSocket;
    private final Deliveries deliveries;
    private final Deliveries before;
    private final Deque<ProtonBuffer> backlog = new ArrayDeque<>();
    private OutgoingDelivery sending;
    private IncomingDelivery reading;

    /**
     * Creates a pipe from the receiver to the sender.
     *
     * @param deliveries keeps what became of each delivery; null where nobody will ask
     * @param before what became of those of an earlier connection of this link
     */
    Pipe(Receiver in, AmqpSocket inSocket, Sender out, AmqpSocket outSocket, Deliveries deliveries, Deliveries before) {
        this.in = in;
        this.inSocket = inSocket;
        this.out = out;
        this.outSocket = outSocket;
        this.deliveries = deliveries;
        this.before = before;
    }

    void start() {
        in.deliveryReadHandler(d -> outSocket.guarded(() -> carry(d)));
        in.deliveryAbortedHandler(d -> outSocket.guarded(() -> abort(d)));
        in.creditStateUpdateHandler(r -> outSocket.guarded(this::creditUsed));
        out.creditStateUpdateHandler(s -> inSocket.guarded(this::credit));
        credit();
    }

    /** Whoever may send here may send there: credit is passed on, never made. */
    private void credit() {
        outSocket.guarded(this::sendBacklog);
        int more = out.getCredit() - in.getCredit();
        if (more > 0) {
            in.addCredit(more);
        }
        if (out.isDraining() && !in.isDraining()) {
            if (in.getCredit() > 0) {
                in.drain();
            } else {
                outSocket.guarded(out::drained);
            }
        }
    }

    private void creditUsed() {
        if (out.isDraining() && in.getCredit() == 0) {
            out.drained();
        }
    }

    private void carry(IncomingDelivery d) {
        OutgoingDelivery passed = d.getLinkedResource(OutgoingDelivery.class);
        Binary tag = binary(d);
        if (passed == null) {
            if (before != null && before.knows(tag)) {
                answerAgain(d, tag);
                return;
            }
            passed = out.next();
            passed.setTag(d.getTag().tagBytes());
            passed.setMessageFormat(d.getMessageFormat());
            d.setLinkedResource(passed);
            OutgoingDelivery linked = passed;
            passed.deliveryStateUpdatedHandler(o -> inSocket.guarded(() -> told(d, linked, tag)));
            d.deliveryStateUpdatedHandler(i -> outSocket.guarded(() -> answered(d, linked, tag)));
        }
        ProtonBuffer bytes = d.readAll();
        if (bytes != null) {
            backlog.add(bytes);
        }
        sending = passed;
        reading = d;
        if (!d.isPartial() && deliveries != null && !d.isRemotelySettled()) {
            deliveries.passedOn(tag);
        }
        sendBacklog();
    }

    private void sendBacklog() {
        while (sending != null) {
            ProtonBuffer next = backlog.peek();
            boolean last = !reading.isPartial() && backlog.size() <= 1;
            if (next == null && !last) {
                break;
            }
            if (last && reading.isRemotelySettled() && !sending.isSettled()) {
                sending.settle();
            }
            sending.streamBytes(next == null ? empty() : next, last);
            if (next != null && next.isReadable()) {
                // the other side's window is full: the rest goes when it opens
                break;
            }
            backlog.poll();
            if (last) {
                sending = null;
                reading = null;
            }
        }
        if (!backlog.isEmpty() || outSocket.peer().pendingBytes() > MOST_WAITING) {
            inSocket.peer().pauseReading();
        } else {
            inSocket.peer().resumeReading();
        }
    }

    /** What waited has gone out. */
    void roomAgain() {
        if (backlog.isEmpty()) {
            inSocket.peer().resumeReading();
        }
    }

    private static ProtonBuffer empty() {
        return org.apache.qpid.protonj2.buffer.ProtonBufferAllocator.defaultAllocator()
                .allocate(0);
    }

    private void abort(IncomingDelivery d) {
        OutgoingDelivery passed = d.getLinkedResource(OutgoingDelivery.class);
        backlog.clear();
        sending = null;
        reading = null;
        if (passed != null) {
            passed.abort();
        }
        d.settle();
    }

    /** A delivery that an earlier execution of this link has passed on: it is answered and not sent twice. */
    private void answerAgain(IncomingDelivery d, Binary tag) {
        d.readAll();
        if (d.isPartial()) {
            return;
        }
        DeliveryState state = before.state(tag);
        before.forget(tag);
        if (!d.isRemotelySettled()) {
            // nobody knows whether that feed server took it: the client decides, under a new tag
            d.disposition(state != null ? state : new Modified().setDeliveryFailed(true), true);
        } else {
            d.settle();
        }
        inSocket.guarded(this::credit);
    }

    /** The receiving end has said something of a delivery. */
    private void told(IncomingDelivery d, OutgoingDelivery passed, Binary tag) {
        if (deliveries != null) {
            deliveries.became(tag, passed.getRemoteState());
        }
        if (!d.isSettled()) {
            d.disposition(passed.getRemoteState(), passed.isRemotelySettled());
        }
        if (passed.isRemotelySettled() && !passed.isSettled()) {
            passed.settle();
        }
    }

    /** The sending end has said something of a delivery. */
    private void answered(IncomingDelivery d, OutgoingDelivery passed, Binary tag) {
        if (deliveries != null && d.isRemotelySettled()) {
            deliveries.forget(tag);
        }
        if (!passed.isSettled()) {
            passed.disposition(d.getRemoteState(), d.isRemotelySettled());
        }
        if (d.isRemotelySettled() && !d.isSettled()) {
            d.settle();
        }
    }

    private static Binary binary(IncomingDelivery d) {
        return new Binary(d.getTag().tagBytes());
    }
}
