package sandstack.fleet.link;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import sandstack.concurrent.Futures;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeResponse;
import sandstack.fleet.FleetMessages.StateGossip;
import sandstack.fleet.Incarnation;
import sandstack.fleet.Membership;

/**
 * The periodic part of the membership protocol: sends probes, gossips this member's state and updates the view. Runs on
 * the fleet's thread every {@link Membership#TICK_MICROS}.
 */
final class ProtocolTask implements Runnable {
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

    private final Incarnation self;
    private final Membership membership;
    private final ClusterClient clusterClient;
    private final MembershipViewHolder viewHolder;
    private final FleetWarningLog warnings;
    private final CompletableFuture<Void> nameConflict = new CompletableFuture<>();

    ProtocolTask(
            Incarnation self,
            Membership membership,
            ClusterClient clusterClient,
            MembershipViewHolder viewHolder,
            FleetWarningLog warnings) {
        this.self = self;
        this.membership = membership;
        this.clusterClient = clusterClient;
        this.viewHolder = viewHolder;
        this.warnings = warnings;
    }

    /** Completes once this member has lost the claim to its name to another incarnation. */
    CompletableFuture<Void> nameConflict() {
        return nameConflict;
    }

    @Override
    public void run() {
        for (Incarnation target : membership.tick(FleetExecutor.nowMicros())) {
            probe(target);
        }
        gossipOwnState();
        if (membership.nameOwnerId().isPresent()) {
            nameConflict.complete(null);
        }
        viewHolder.updateIfDue();
    }

    private void gossipOwnState() {
        MemberState state = membership.stateToGossip(FleetExecutor.nowMicros());
        if (state != null) {
            StateGossip gossip = new StateGossip(FleetMessages.PROTOCOL_VERSION, self.id(), state, self);
            clusterClient.gossip(Qualifiers.STATE_GOSSIP, MessageJson.write(gossip));
        }
    }

    private void probe(Incarnation target) {
        String body = MessageJson.write(membership.probeRequest(target));
        // the callback handles success and failure
        Futures.ignore(clusterClient
                .request(target, Qualifiers.PROBE_REQUEST, body, PROBE_TIMEOUT)
                .whenComplete((response, failure) -> probeCompleted(target, response, failure)));
    }

    private void probeCompleted(Incarnation target, String response, Throwable failure) {
        try {
            if (failure == null) {
                membership.probeAnswered(
                        target, MessageJson.read(response, ProbeResponse.class), FleetExecutor.nowMicros());
                return;
            }
        } catch (MalformedFleetMessageException e) {
            warnings.warning("probe response rejected name=" + target.name() + " address=" + target.address()
                    + " reason=\"" + e.getMessage() + "\"");
        }
        membership.probeTimedOut(target);
    }
}
