package sandstack.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.ProbeResponse;

/**
 * The membership protocol on one member: combines the events of the SWIM library, the member's own probes and the
 * reports of other members, and selects the members to probe next. Makes no decisions about client requests.
 *
 * <p><b>Failure model.</b> Members crash and restart with or without their disk contents, stall for any length of time,
 * and run slowly. Links lose and delay messages and fail in one direction or in both. Members are not Byzantine;
 * {@code sandstack.fleet.link} rejects malformed messages.
 *
 * <p><b>Guaranteed.</b> Received values were published by their member, and a later version is never replaced by an
 * earlier one. A member is not {@link MemberStatus#LOST} while any other member reports that it reaches it. Of two
 * processes that start with the same name, at most one owns it, provided that they reach each other at the start.
 *
 * <p><b>Not guaranteed.</b> That all members have the same view at the same moment, or that a name has only one owner
 * across a partition. Both need consensus, which this protocol does not provide.
 *
 * <p>Not thread-safe. A tick costs O(members), {@link #view} O(members squared).
 */
public final class Membership {
    /** Interval of {@link #tick}. */
    public static final long TICK_MICROS = 100_000;

    /** A longer time between two ticks means that the process has stalled. */
    static final long STALL_THRESHOLD_MICROS = 10 * TICK_MICROS;
    /** Time from its first tick until an incarnation owns its name, if no conflict is detected. */
    public static final long NAME_CLAIM_MICROS = NameClaim.CLAIM_MICROS;

    /** Minimum interval between two gossip messages with this member's state. */
    static final long GOSSIP_INTERVAL_MICROS = 500_000;

    /** Key of the published digest of the configured relays. */
    static final String CONFIGURATION_DIGEST_KEY = "relays";

    /**
     * The membership at one moment. Immutable.
     *
     * @param published the latest values of each member, by incarnation id
     * @param ownsName whether this member owns its name
     * @param unreachable ids of the members that this one does not reach directly
     * @param takenAtMicros time of the view by the caller's clock
     */
    public record View(
            Incarnation self,
            List<MemberTable.Row> rows,
            Map<String, MemberValues.ReceivedValues> published,
            boolean ownsName,
            Set<String> unreachable,
            QuorumAssessment quorum,
            long takenAtMicros) {
        /** This view with the quorum state that applies at {@code nowMicros}. */
        public View asOf(long nowMicros) {
            return new View(self, rows, published, ownsName, unreachable, quorum.asOf(nowMicros), takenAtMicros);
        }
    }

    private final MemberTable memberTable;
    private final ReachabilityTracker reachability;
    private final MemberValues memberValues;
    private final QuorumTracker quorumTracker;
    private final DecommissionedRelays decommissionedRelays;
    private final NameClaim nameClaim;
    private MemberState ownState;
    private long lastTickMicros;
    private long gossipedVersion;
    private long lastGossipMicros = Long.MIN_VALUE / 2;

    /** Creates a membership without configured relays; its quorum state is always unknown. */
    public Membership(Incarnation self, long nowMicros, RandomGenerator random) {
        this(self, Set.of(), nowMicros, random);
    }

    /**
     * Creates a membership that contains only this member.
     *
     * @param configuredRelays names of all relays of the fleet; empty if they are not configured
     * @param random shuffles the order of probes
     */
    public Membership(Incarnation self, Set<String> configuredRelays, long nowMicros, RandomGenerator random) {
        quorumTracker = new QuorumTracker(configuredRelays, self.name(), nowMicros);
        memberTable = new MemberTable(self, nowMicros);
        reachability = new ReachabilityTracker(random);
        memberValues = new MemberValues(self.id());
        decommissionedRelays = new DecommissionedRelays(self.id(), memberValues, quorumTracker);
        nameClaim = new NameClaim(self);
        lastTickMicros = nowMicros;
        ownState = new MemberState(0, Map.of(), Set.of(), Set.of());
        if (!configuredRelays.isEmpty()) {
            publish(CONFIGURATION_DIGEST_KEY, quorumTracker.configurationDigest(), nowMicros);
        }
    }

    /** The library has added a member. */
    public void memberAdded(Incarnation incarnation, long nowMicros) {
        memberTable.memberAdded(incarnation, nowMicros);
        membersChanged();
    }

    /**
     * Gossip has arrived, possibly with the incarnation of its sender. The library discovers members at random, which
     * takes long for two that started on different sides of a partition, so an incarnation that other members reach is
     * probed even before the library discovers it.
     *
     * @param id incarnation id of the sender
     * @param incarnation the sender; null if the message does not include it
     */
    public void memberDiscovered(String id, Incarnation incarnation, long nowMicros) {
        if (incarnation != null
                && incarnation.id().equals(id)
                && memberTable.memberDiscovered(incarnation, nowMicros)) {
            membersChanged();
        }
    }

    /** A member has announced that it leaves. */
    public void memberLeft(String id, long nowMicros) {
        memberTable.memberLeft(id, nowMicros);
        membersChanged();
    }

    /** The library has removed a member. */
    public void memberRemoved(String id, long nowMicros) {
        memberTable.memberRemoved(id, nowMicros);
        membersChanged();
    }

    private void membersChanged() {
        reachability.setMembers(memberTable.otherMemberIds());
        // safe for a member that returns after a partition, because it sends its complete state again
        memberValues.retainOnly(memberTable.otherMemberIds());
        reachabilityChanged();
    }

    private void reachabilityChanged() {
        Set<String> reachable = reachability.reachable();
        Set<String> unreachable = reachability.unreachable();
        if (!reachable.equals(ownState.reachable()) || !unreachable.equals(ownState.unreachable())) {
            updateOwnState(ownState.values(), reachable, unreachable);
        }
        memberTable.reachReported(memberTable.self().id(), reachable, unreachable);
    }

    private void updateOwnState(Map<String, String> values, Set<String> reachable, Set<String> unreachable) {
        ownState = new MemberState(ownState.version() + 1, values, reachable, unreachable);
    }

    /**
     * Changes a value that this member publishes.
     *
     * @param value the new value; null removes it
     * @throws IllegalArgumentException if the key or the value is too long, or there would be too many values
     */
    public void publish(String key, String value, long nowMicros) {
        if (memberValues.publish(key, value, nowMicros)) {
            Map<String, String> values =
                    memberValues.values(memberTable.self().id()).entries();
            updateOwnState(values, ownState.reachable(), ownState.unreachable());
        }
    }

    /** Advances the time and returns the members to probe now. Must be called every {@link #TICK_MICROS}. */
    public List<Incarnation> tick(long nowMicros) {
        long sinceLastTickMicros = nowMicros - lastTickMicros;
        if (sinceLastTickMicros > STALL_THRESHOLD_MICROS) {
            reachability.processStalled();
            quorumTracker.processStalled(sinceLastTickMicros, nowMicros);
        }
        lastTickMicros = nowMicros;
        nameClaim.tick(nowMicros);
        List<Incarnation> targets = new ArrayList<>();
        reachability.takeDue(nowMicros).forEach(id -> targets.add(memberTable.incarnation(id)));
        return targets;
    }

    /** The probe to send to this member. */
    public ProbeRequest probeRequest(Incarnation target) {
        return new ProbeRequest(
                FleetMessages.PROTOCOL_VERSION,
                memberTable.self().id(),
                memberTable.self().name(),
                memberValues.values(target.id()).version(),
                nameClaim.owned());
    }

    /** Handles a probe; returns the response to send. */
    public ProbeResponse handleProbe(ProbeRequest request, long nowMicros) {
        nameClaim.messageReceived(request.senderId(), request.senderName(), request.ownsName());
        return new ProbeResponse(
                FleetMessages.PROTOCOL_VERSION,
                memberTable.self().id(),
                memberTable.self().name(),
                request.knownVersion() < ownState.version() ? ownState : null,
                nameClaim.owned());
    }

    /** A member has answered a probe. */
    public void probeAnswered(Incarnation target, ProbeResponse response, long nowMicros) {
        if (!response.id().equals(target.id())) {
            // another incarnation listens at the address, so the probed one has ended
            probeTimedOut(target);
            return;
        }
        nameClaim.messageReceived(response.id(), response.name(), response.ownsName());
        boolean changed = reachability.probeAnswered(target.id());
        quorumTracker.probeAnswered(target.id());
        stateReceived(target.id(), response.state(), nowMicros);
        if (changed) {
            reachabilityChanged();
        }
    }

    /** A probe of this member has timed out. */
    public void probeTimedOut(Incarnation target) {
        if (reachability.probeTimedOut(target.id())) {
            reachabilityChanged();
        }
    }

    /**
     * A member's state has arrived, in the response to a probe or by gossip.
     *
     * @param state null if nothing has changed
     */
    public void stateReceived(String id, MemberState state, long nowMicros) {
        if (state == null || !memberTable.isMember(id)) {
            return;
        }
        if (memberValues.accept(id, new MemberValues.VersionedValues(state.version(), state.values()), nowMicros)) {
            memberTable.reachReported(id, state.reachable(), state.unreachable());
            // the report may make an incarnation that the library has removed a member again, or end its membership
            reachability.setMembers(memberTable.otherMemberIds());
        }
    }

    /**
     * This member's state if it has changed and is due to be gossiped, otherwise null. Counts as gossiped once
     * returned.
     */
    public MemberState stateToGossip(long nowMicros) {
        if (gossipedVersion == ownState.version() || nowMicros - lastGossipMicros < GOSSIP_INTERVAL_MICROS) {
            return null;
        }
        gossipedVersion = ownState.version();
        lastGossipMicros = nowMicros;
        return ownState;
    }

    /** The id of the incarnation to which this member has lost its name; empty if it has not. */
    public Optional<String> nameOwnerId() {
        return nameClaim.ownerId();
    }

    /** Whether this incarnation owns its name: it has won the claim and keeps the name until it ends. */
    public boolean ownsName() {
        return nameClaim.owned();
    }

    /**
     * The membership at {@code nowMicros}. Also publishes the merged set of decommissioned relays if that has changed.
     */
    public View view(long nowMicros) {
        List<MemberTable.Row> rows = memberTable.rows(nowMicros);
        Map<String, MemberValues.ReceivedValues> published = publishedByMembers(rows);
        Map<String, String> digests = new HashMap<>();
        published.forEach((id, received) ->
                digests.put(id, received.values().entries().getOrDefault(CONFIGURATION_DIGEST_KEY, "")));
        QuorumAssessment quorum = quorumTracker.assess(
                rows, reachability.reachable(), digests, mergeDecommissioned(rows, nowMicros), nowMicros);
        return new View(
                memberTable.self(),
                rows,
                Map.copyOf(published),
                nameClaim.owned(),
                reachability.unreachable(),
                quorum,
                nowMicros);
    }

    private Map<String, MemberValues.ReceivedValues> publishedByMembers(List<MemberTable.Row> rows) {
        Map<String, MemberValues.ReceivedValues> published = new HashMap<>();
        for (MemberTable.Row row : rows) {
            String id = row.incarnation().id();
            MemberValues.ReceivedValues received = memberValues.received(id);
            if (received != null && row.status().isMember()) {
                published.put(id, received);
            }
        }
        return published;
    }

    private Set<String> mergeDecommissioned(List<MemberTable.Row> rows, long nowMicros) {
        Set<String> decommissioned = decommissionedRelays.merge(rows);
        String text = DecommissionedRelays.format(decommissioned);
        if (text.length() <= MemberValues.MAX_LENGTH) {
            publish(DecommissionedRelays.KEY, text.isEmpty() ? null : text, nowMicros);
        }
        return decommissioned;
    }

    /**
     * Decommissions a lost relay at the request of an operator: it does not count towards the size of the fleet until
     * it is a member again.
     *
     * @return the reason for a refusal; empty on success
     */
    public Optional<String> decommission(String name, long nowMicros) {
        Optional<String> refusal = decommissionedRelays.refusal(name, view(nowMicros));
        if (refusal.isEmpty()) {
            publish(DecommissionedRelays.KEY, decommissionedRelays.publishedWith(name), nowMicros);
        }
        return refusal;
    }
}
