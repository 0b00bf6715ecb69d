package sandstack.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.ProbeResponse;

/**
 * One member's part in knowing the others: puts the library's word, own questions and the words of others together, and
 * says whom to ask next. Decides nothing about requests of clients.
 *
 * <p><b>Failure model.</b> Members crash and restart with or without their disk, stop for any time and go on, are slow;
 * links lose, delay, cut one way or both. Members do not lie; what is no word of ours is refused before it comes here.
 * <b>Promised:</b> the values of a member that others hold are values that it told, the later never before the earlier;
 * a member is called {@link MemberStatus#PARTIALLY_REACHABLE} and not lost while anyone reaches it and says so; of two processes that
 * start with one name at most one is told that the name is its own, as long as they reach each other when they start.
 * <b>Not promised:</b> that all hold the same view at one moment, or that a name has one holder across a cut: what
 * needs that needs one order, and this has none.
 *
 * <p>One thread; a turn costs O(members), {@link #view} O(members squared).
 */
public final class Membership {
    /** Turns come this often; one that comes much later was slept through. */
    public static final long TICK_MICROS = 100_000;

    static final long STALL_THRESHOLD_MICROS = 10 * TICK_MICROS;
    /** So long after its first turn a life that heard of no namesake holds its name. */
    public static final long NAME_CLAIM_MICROS = 1_500_000;

    static final long GOSSIP_INTERVAL_MICROS = 500_000;

    /** How all stand, and what they tell, at one moment. */
    public record View(
            Incarnation self,
            List<MemberTable.Row> rows,
            Map<String, MemberValues.ReceivedValues> published,
            boolean ownsName,
            Set<String> unreachable,
            QuorumAssessment quorum,
            long takenAtMicros) {
        /** The same, with what may be acted on at this moment. */
        public View asOf(long nowMicros) {
            return new View(self, rows, published, ownsName, unreachable, quorum.asOf(nowMicros), takenAtMicros);
        }
    }

    /** What a member tells of the relays that staff state, and of those that staff took out. */
    static final String CONFIGURATION_DIGEST_KEY = "relays";

    static final String DECOMMISSIONED_KEY = "out";

    private final MemberTable memberTable;
    private final ReachabilityProbe reachability;
    private final MemberValues memberValues;
    private final QuorumTracker quorumTracker;
    /** Of the first turn; -1 before it. */
    private long firstTickMicros = -1;

    private MemberState ownState;
    private long lastTickMicros;
    private long gossipedVersion;
    private long lastGossipMicros = Long.MIN_VALUE / 2;
    private boolean ownsName;
    private String nameOwnerId;

    /** Where staff have not said which relays there are. */
    public Membership(Incarnation self, long nowMicros, RandomGenerator random) {
        this(self, Set.of(), nowMicros, random);
    }

    /**
     * Creates a membership that has met no other member yet.
     *
     * @param configuredRelays names of all relays that there are, as staff state them
     */
    public Membership(Incarnation self, Set<String> configuredRelays, long nowMicros, RandomGenerator random) {
        quorumTracker = new QuorumTracker(configuredRelays, self.name(), nowMicros);
        memberTable = new MemberTable(self, nowMicros);
        reachability = new ReachabilityProbe(random);
        memberValues = new MemberValues(self.id());
        lastTickMicros = nowMicros;
        ownState = new MemberState(0, Map.of(), Set.of(), Set.of());
        if (!configuredRelays.isEmpty()) {
            publish(CONFIGURATION_DIGEST_KEY, quorumTracker.configurationDigest(), nowMicros);
        }
    }

    /** The library has this life for a member. */
    public void memberAdded(Incarnation incarnation, long nowMicros) {
        memberTable.memberAdded(incarnation, nowMicros);
        membersChanged();
    }

    /**
     * A life tells of itself through others: the library meets it only by a word with it, drawn once in a while, and two
     * that started behind a cut met late. Whoever is reached by others is asked.
     */
    public void memberDiscovered(String id, Incarnation incarnation, long nowMicros) {
        if (incarnation != null
                && incarnation.id().equals(id)
                && memberTable.memberDiscovered(incarnation, nowMicros)) {
            membersChanged();
        }
    }

    /** It said that it goes. */
    public void memberLeft(String id, long nowMicros) {
        memberTable.memberLeft(id, nowMicros);
        membersChanged();
    }

    /** The library gave it up. */
    public void memberRemoved(String id, long nowMicros) {
        memberTable.memberRemoved(id, nowMicros);
        membersChanged();
    }

    private void membersChanged() {
        reachability.setMembers(memberTable.otherMemberIds());
        // one that comes back from behind a cut is asked for all that it tells
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
     * Changes a value that this member tells all; null takes it away.
     *
     * @throws IllegalArgumentException where it is too long, or there are too many
     */
    public void publish(String key, String value, long nowMicros) {
        if (memberValues.publish(key, value, nowMicros)) {
            updateOwnState(
                    memberValues.values(memberTable.self().id()).entries(),
                    ownState.reachable(),
                    ownState.unreachable());
        }
    }

    /** Whom to ask now. */
    public List<Incarnation> tick(long nowMicros) {
        if (nowMicros - lastTickMicros > STALL_THRESHOLD_MICROS) {
            // others may have waited for this process in vain; nothing follows about them
            reachability.processStalled();
            quorumTracker.processStalled(nowMicros - lastTickMicros, nowMicros);
        }
        lastTickMicros = nowMicros;
        firstTickMicros = firstTickMicros < 0 ? nowMicros : firstTickMicros;
        ownsName |= nameOwnerId == null && nowMicros - firstTickMicros >= NAME_CLAIM_MICROS;
        List<Incarnation> targets = new ArrayList<>();
        reachability.takeDue(nowMicros).forEach(id -> targets.add(memberTable.incarnation(id)));
        return targets;
    }

    /** What to ask this member. */
    public ProbeRequest probeRequest(Incarnation target) {
        return new ProbeRequest(
                FleetMessages.PROTOCOL_VERSION,
                memberTable.self().id(),
                memberTable.self().name(),
                memberValues.values(target.id()).version(),
                ownsName);
    }

    /** What to answer. */
    public ProbeResponse handleProbe(ProbeRequest request, long nowMicros) {
        resolveNameConflict(request.senderId(), request.senderName(), request.ownsName());
        return new ProbeResponse(
                FleetMessages.PROTOCOL_VERSION,
                memberTable.self().id(),
                memberTable.self().name(),
                request.knownVersion() < ownState.version() ? ownState : null,
                ownsName);
    }

    /** A member answered. */
    public void probeAnswered(Incarnation target, ProbeResponse response, long nowMicros) {
        if (!response.id().equals(target.id())) {
            // another life answers at its address: this one is gone, whatever the library still waits for
            probeTimedOut(target);
            return;
        }
        resolveNameConflict(response.id(), response.name(), response.ownsName());
        boolean changed = reachability.probeAnswered(target.id());
        quorumTracker.probeAnswered(target.id());
        stateReceived(target.id(), response.state(), nowMicros);
        if (changed) {
            reachabilityChanged();
        }
    }

    /** What a member tells, by whatever way: one that this one does not reach is heard of through others. */
    public void stateReceived(String id, MemberState state, long nowMicros) {
        if (state != null
                && memberTable.isMember(id)
                && memberValues.accept(
                        id, new MemberValues.VersionedValues(state.version(), state.values()), nowMicros)) {
            memberTable.reachReported(id, state.reachable(), state.unreachable());
            // whom the library gave up comes back by the word of one who reaches it, and goes with that
            reachability.setMembers(memberTable.otherMemberIds());
        }
    }

    /** What is new here and has to be spread now; null where nothing is. What changes often is spread once a while. */
    public MemberState stateToGossip(long nowMicros) {
        if (gossipedVersion == ownState.version() || nowMicros - lastGossipMicros < GOSSIP_INTERVAL_MICROS) {
            return null;
        }
        gossipedVersion = ownState.version();
        lastGossipMicros = nowMicros;
        return ownState;
    }

    /** A question to this member had no answer in time. */
    public void probeTimedOut(Incarnation target) {
        if (reachability.probeTimedOut(target.id())) {
            reachabilityChanged();
        }
    }

    /** Of two lives of one name that live, the one that holds it keeps it; of two that start, the lower id. */
    private void resolveNameConflict(String id, String name, boolean otherOwnsName) {
        if (!ownsName
                && nameOwnerId == null
                && name.equals(memberTable.self().name())
                && !id.equals(memberTable.self().id())
                && (otherOwnsName || id.compareTo(memberTable.self().id()) < 0)) {
            nameOwnerId = id;
        }
    }

    /** The id of the life that holds this one's name; null where it is its own, or nobody has said so. */
    public String nameOwnerId() {
        return nameOwnerId;
    }

    /** Whether this life holds its name. */
    public boolean ownsName() {
        return ownsName;
    }

    /** How all stand now. */
    public View view(long nowMicros) {
        Map<String, MemberValues.ReceivedValues> published = new HashMap<>();
        List<MemberTable.Row> rows = memberTable.rows(nowMicros);
        for (MemberTable.Row row : rows) {
            MemberValues.ReceivedValues received =
                    memberValues.received(row.incarnation().id());
            if (received != null && row.status().isMember()) {
                published.put(row.incarnation().id(), received);
            }
        }
        Map<String, String> digests = new HashMap<>();
        published.forEach((id, received) ->
                digests.put(id, received.values().entries().getOrDefault(CONFIGURATION_DIGEST_KEY, "")));
        QuorumAssessment quorum = quorumTracker.assess(
                rows, reachability.reachable(), digests, decommissioned(rows, nowMicros), nowMicros);
        return new View(
                memberTable.self(),
                rows,
                Map.copyOf(published),
                ownsName,
                reachability.unreachable(),
                quorum,
                nowMicros);
    }

    /** Whom staff have taken out, at any relay that is heard of. One that lives counts again, and is told no longer. */
    private Set<String> decommissioned(List<MemberTable.Row> rows, long nowMicros) {
        Set<String> memberNames = new HashSet<>();
        Set<String> decommissioned =
                new TreeSet<>(decommissionedBy(memberTable.self().id()));
        for (MemberTable.Row row : rows) {
            if (row.status().isMember()) {
                memberNames.add(row.incarnation().name());
                decommissioned.addAll(decommissionedBy(row.incarnation().id()));
            }
        }
        decommissioned.removeIf(name -> memberNames.contains(name) || !quorumTracker.isConfigured(name));
        String text = String.join(",", decommissioned);
        if (text.length() <= MemberValues.MAX_LENGTH) {
            // whoever hears of it tells it too: it outlasts the relay at which staff said it
            publish(DECOMMISSIONED_KEY, text.isEmpty() ? null : text, nowMicros);
        }
        return decommissioned;
    }

    private Set<String> decommissionedBy(String id) {
        String text = memberValues.values(id).entries().getOrDefault(DECOMMISSIONED_KEY, "");
        return text.isEmpty() ? Set.of() : Set.of(text.split(","));
    }

    /** Staff say that this relay is gone for good; returns why that cannot be, or null where it is done. */
    public String decommission(String name, long nowMicros) {
        View view = view(nowMicros);
        boolean isMember = view.rows().stream()
                .anyMatch(row ->
                        row.incarnation().name().equals(name) && row.status().isMember());
        String before = memberValues.values(memberTable.self().id()).entries().getOrDefault(DECOMMISSIONED_KEY, "");
        String after = before.isEmpty() ? name : before + "," + name;
        if (!quorumTracker.isConfigured(name)) {
            return name + " is not among the relays that staff state";
        } else if (isMember) {
            return name + " is not lost: stop it first";
        } else if (!view.quorum().allows(GuardedOperation.OperatorOperation.DECOMMISSION_RELAY)) {
            return "this relay is " + view.quorum().state() + " ("
                    + view.quorum().reason() + "); ask one that is not";
        } else if (after.length() > MemberValues.MAX_LENGTH) {
            return "too many are out; correct the file of each relay";
        }
        publish(DECOMMISSIONED_KEY, after, nowMicros);
        return null;
    }
}
