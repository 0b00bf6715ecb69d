package sandstack.configuration.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sandstack.configuration.AgreedChangeListener;
import sandstack.configuration.ChangeRefusal;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;

/**
 * One control machine's part in the agreement: takes proposals where it leads, and tells its listener what was agreed.
 * All methods may be called on any thread; stages complete on the executor's.
 */
public final class ControlNode {
    /** Makes the state machine, given where the node's term is read. */
    @FunctionalInterface
    interface StateMachineFactory {
        ConfigurationStateMachine create(LongSupplier leaderTerm);
    }

    private final ControlNodeSettings settings;
    private final ControlNodeEnvironment environment;
    private final ChangeValidator validator;
    private final ConfigurationCodec codec;
    private final ConfigurationStateMachine stateMachine;
    private final SnapshotBoundary boundary;
    private final SnapshotStall snapshotStall;
    private volatile RaftNode raft;
    private boolean restarting;

    /**
     * Builds the node; it takes part from {@link #start} on.
     *
     * @throws IOException where the store cannot be read or is refused
     */
    public static ControlNode create(
            ControlNodeSettings settings,
            ControlNodeEnvironment environment,
            ChangeValidator validator,
            AgreedChangeListener listener)
            throws IOException {
        return new ControlNode(
                settings,
                environment,
                validator,
                leaderTerm -> new ConfigurationStateMachine(validator, listener, leaderTerm));
    }

    ControlNode(
            ControlNodeSettings settings,
            ControlNodeEnvironment environment,
            ChangeValidator validator,
            StateMachineFactory stateMachines)
            throws IOException {
        this.settings = settings;
        this.environment = environment;
        this.validator = validator;
        this.codec = new ConfigurationCodec(validator.limits());
        this.stateMachine = stateMachines.create(this::currentTerm);
        this.snapshotStall = new SnapshotStall(settings.times().heartbeatTimeout());
        this.boundary = new SnapshotBoundary(environment.store());
        this.raft = buildRaftNode();
    }

    private RaftNode buildRaftNode() throws IOException {
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(settings.group())
                .setConfig(settings.toRaftConfig())
                .setExecutor(new JitteredExecutor(environment.executor(), environment.random()))
                .setTransport(environment.transport())
                .setStore(environment.store())
                .setStateMachine(stateMachine)
                .setClock(environment.clock())
                .setRandom(environment.random());
        Optional<RestoredRaftState> restored = environment.store().restore();
        if (restored.isPresent()) {
            return builder.setRestoredState(restored.get()).build();
        }
        return builder.setLocalEndpoint(settings.self())
                .setInitialGroupMembers(List.<RaftEndpoint>copyOf(settings.bootstrapVoters()))
                .build();
    }

    /** Begins to take part. */
    public CompletionStage<Void> start() {
        return raft.start().thenApply(ignored -> null);
    }

    /** Takes part no longer; proposals that are out become indeterminate. */
    public CompletionStage<Void> stop() {
        return raft.terminate().thenApply(ignored -> null);
    }

    /** A message of another control machine arrived. */
    public void handle(RaftMessage message) {
        environment.executor().execute(() -> receive(message));
    }

    private void receive(RaftMessage message) {
        if (restarting) {
            return;
        }
        boolean stalled = snapshotStall.stalledBy(message, environment.clock().millis());
        if (stalled || boundary.contradictedFrom(message, currentTerm()).isPresent()) {
            restart(message);
        } else {
            raft.handle(boundary.withoutHeldEntries(message));
        }
    }

    /** The library's node is begun anew over the store; messages until then are lost, as on any network. */
    private void restart(RaftMessage message) {
        restarting = true;
        raft.terminate().whenComplete((ignored, failure) -> {
            try {
                removeContradicted(message);
                raft = buildRaftNode();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            restarting = false;
            raft.start();
        });
    }

    /** Asked again now that the node handles nothing more: a later leader may have confirmed the entries meanwhile. */
    private void removeContradicted(RaftMessage message) throws IOException {
        OptionalLong from = boundary.contradictedFrom(message, currentTerm());
        if (from.isPresent()) {
            environment.store().truncateLogEntriesFrom(from.getAsLong());
            environment.store().flush();
        }
    }

    /**
     * Asks for a change. Answered at once where this machine cannot have it agreed on, and in any case within the
     * proposal timeout, as long as the executor runs.
     */
    public CompletionStage<ProposalOutcome> propose(ChangeId id, ConfigurationChange change) {
        Optional<ChangeRefusal> refusal = validator.refuseContent(change);
        if (refusal.isPresent()) {
            return CompletableFuture.completedFuture(new ProposalOutcome.Refused(refusal.get()));
        }
        Optional<ProposalOutcome> elsewhere = outcomeWithoutLeading();
        if (elsewhere.isPresent()) {
            return CompletableFuture.completedFuture(elsewhere.get());
        }
        LogOperation.Proposal proposal = new LogOperation.Proposal(id, codec.encode(change));
        return raft.getReport()
                .thenCompose(report -> hearsQuorum(report.getResult())
                        ? replicate(proposal)
                        : CompletableFuture.completedFuture(noQuorum()))
                .exceptionally(failure -> outcomeOfFailure(id, failure));
    }

    /** The version at which a change was agreed on, as far as this machine has applied the log and remembers. */
    public CompletionStage<Optional<ConfigurationVersion>> versionOf(ChangeId id) {
        CompletableFuture<Optional<ConfigurationVersion>> version = new CompletableFuture<>();
        environment.executor().submit(() -> version.complete(stateMachine.versionOf(id)));
        return version;
    }

    /** Whom this machine believes to lead. */
    public Optional<ControlIdentity> leader() {
        return Optional.ofNullable((ControlIdentity) raft.getTerm().getLeaderEndpoint());
    }

    /** The term that this machine is in. */
    public long currentTerm() {
        return raft.getTerm().getTerm();
    }

    /** The members that are agreed on. */
    public RaftGroupMembers members() {
        return raft.getCommittedMembers();
    }

    /** Has a machine admitted, promoted or removed; asked of the leader with the index of the members that it saw. */
    public CompletionStage<RaftGroupMembers> changeMembership(
            ControlIdentity machine, MembershipChangeMode mode, long membersLogIndex) {
        return raft.changeMembership(machine, mode, membersLogIndex).thenApply(ordered -> ordered.getResult());
    }

    /** What the library tells of the node, for the operators' figures. */
    public CompletionStage<RaftNodeReport> report() {
        return raft.getReport().thenApply(ordered -> ordered.getResult());
    }

    /** The configuration as this machine has applied it; read on the executor's thread. */
    ConfigurationSnapshot current() {
        return stateMachine.current();
    }

    private Optional<ProposalOutcome> outcomeWithoutLeading() {
        Optional<ControlIdentity> leader = leader();
        if (leader.isEmpty()) {
            return Optional.of(noQuorum());
        }
        return leader.get().equals(settings.self())
                ? Optional.empty()
                : Optional.of(new ProposalOutcome.NotLeader(leader.get()));
    }

    /** A leader that misses two heartbeats of a quorum puts nothing more to the others, before it is given up. */
    private boolean hearsQuorum(RaftNodeReport report) {
        if (report.getRole() != RaftRole.LEADER) {
            return false;
        }
        Duration most = settings.times().heartbeatPeriod().multipliedBy(2);
        long now = environment.clock().millis();
        return report.getQuorumHeartbeatTimestamp()
                .map(heard -> now - heard <= most.toMillis())
                .orElse(false);
    }

    private CompletableFuture<ProposalOutcome> replicate(LogOperation.Proposal proposal) {
        CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
        raft.<ProposalOutcome>replicate(proposal).whenComplete((ordered, failure) -> {
            if (failure == null) {
                outcome.complete(ordered.getResult());
            } else {
                outcome.complete(outcomeOfFailure(proposal.id(), failure));
            }
        });
        long timeout = settings.times().proposalTimeout().toMillis();
        environment
                .executor()
                .schedule(
                        () -> outcome.complete(new ProposalOutcome.Indeterminate(proposal.id())),
                        timeout,
                        TimeUnit.MILLISECONDS);
        return outcome;
    }

    private ProposalOutcome outcomeOfFailure(ChangeId id, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof NotLeaderException) {
            return outcomeWithoutLeading().orElseGet(this::noQuorum);
        }
        if (cause instanceof CannotReplicateException) {
            return new ProposalOutcome.Refused(new ChangeRefusal(
                    ChangeRefusal.Reason.TOO_MANY,
                    "more than " + settings.maxPendingProposals() + " proposals are out, or the members change"));
        }
        return new ProposalOutcome.Indeterminate(id);
    }

    private ProposalOutcome noQuorum() {
        return new ProposalOutcome.Refused(new ChangeRefusal(
                ChangeRefusal.Reason.NO_QUORUM, settings.self() + " knows of no leader that reaches a quorum"));
    }
}
