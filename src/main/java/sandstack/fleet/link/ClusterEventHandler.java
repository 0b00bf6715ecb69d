package sandstack.fleet.link;

import io.scalecube.cluster.ClusterMessageHandler;
import io.scalecube.cluster.Member;
import io.scalecube.cluster.membership.MembershipEvent;
import io.scalecube.cluster.transport.api.Message;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Logger;
import sandstack.fleet.FleetMessages.CallRequest;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.StateGossip;
import sandstack.fleet.Incarnation;
import sandstack.fleet.Membership;

/**
 * Handles the messages and membership events that the library delivers. The {@code on...} methods run on threads of the
 * library and pass everything to the fleet's thread. Messages are dropped while {@link #MAX_QUEUED_MESSAGES} are queued
 * for it.
 */
final class ClusterEventHandler implements ClusterMessageHandler {
    private static final Logger LOG = Logger.getLogger(FleetMember.LOGGER_NAME);
    private static final int MAX_QUEUED_MESSAGES = 2_000;

    private final Membership membership;
    private final FleetExecutor executor;
    private final ClusterClient clusterClient;
    private final CallServer callServer;
    private final MembershipViewHolder viewHolder;
    private final FleetWarningLog warnings;
    private final AtomicInteger queuedMessages = new AtomicInteger();

    ClusterEventHandler(
            Membership membership,
            FleetExecutor executor,
            ClusterClient clusterClient,
            CallServer callServer,
            MembershipViewHolder viewHolder,
            FleetWarningLog warnings) {
        this.membership = membership;
        this.executor = executor;
        this.clusterClient = clusterClient;
        this.callServer = callServer;
        this.viewHolder = viewHolder;
        this.warnings = warnings;
    }

    @Override
    public void onGossip(Message message) {
        onMessage(message);
    }

    @Override
    public void onMessage(Message message) {
        if (queuedMessages.incrementAndGet() > MAX_QUEUED_MESSAGES) {
            queuedMessages.decrementAndGet();
            return;
        }
        executor.execute(() -> {
            queuedMessages.decrementAndGet();
            handleMessage(message);
        });
    }

    @Override
    public void onMembershipEvent(MembershipEvent event) {
        executor.execute(() -> handleMembershipEvent(event));
    }

    private void handleMessage(Message message) {
        try {
            if (Qualifiers.PROBE_REQUEST.equals(message.qualifier())) {
                handleProbe(message);
            } else if (Qualifiers.STATE_GOSSIP.equals(message.qualifier())) {
                handleGossip(message);
            } else if (Qualifiers.CALL_REQUEST.equals(message.qualifier())) {
                callServer.handle(message, MessageJson.read(message.data(), CallRequest.class));
            }
        } catch (MalformedFleetMessageException | IllegalArgumentException e) {
            warnings.warning("message rejected address=" + message.sender() + " reason=\"" + e.getMessage() + "\"");
        }
    }

    private void handleProbe(Message message) throws MalformedFleetMessageException {
        ProbeRequest request = MessageJson.read(message.data(), ProbeRequest.class);
        clusterClient.respond(message, MessageJson.write(membership.handleProbe(request, FleetExecutor.nowMicros())));
    }

    private void handleGossip(Message message) throws MalformedFleetMessageException {
        StateGossip gossip = MessageJson.read(message.data(), StateGossip.class);
        membership.memberDiscovered(gossip.id(), gossip.incarnation(), FleetExecutor.nowMicros());
        membership.stateReceived(gossip.id(), gossip.state(), FleetExecutor.nowMicros());
    }

    private void handleMembershipEvent(MembershipEvent event) {
        Member member = event.member();
        if (event.isAdded()) {
            memberAdded(member, event.newMetadata());
        } else if (event.isLeaving()) {
            membership.memberLeft(member.id(), FleetExecutor.nowMicros());
        } else if (event.isRemoved()) {
            membership.memberRemoved(member.id(), FleetExecutor.nowMicros());
        }
        viewHolder.update();
    }

    private void memberAdded(Member member, ByteBuffer metadata) {
        try {
            membership.memberAdded(incarnation(member, metadata), FleetExecutor.nowMicros());
        } catch (MalformedFleetMessageException | IllegalArgumentException e) {
            LOG.warning("member rejected address=" + member.address() + " reason=\"" + e.getMessage() + "\"");
        }
    }

    private static Incarnation incarnation(Member member, ByteBuffer bytes) throws MalformedFleetMessageException {
        if (bytes == null) {
            throw new MalformedFleetMessageException("incomplete member metadata");
        }
        MemberMetadata metadata = MessageJson.read(MemberMetadata.CODEC.deserialize(bytes), MemberMetadata.class);
        if (metadata.name() == null || metadata.zone() == null || metadata.machine() == null) {
            throw new MalformedFleetMessageException("incomplete member metadata");
        }
        return new Incarnation(member.id(), metadata.name(), metadata.zone(), metadata.machine(), member.address());
    }
}
