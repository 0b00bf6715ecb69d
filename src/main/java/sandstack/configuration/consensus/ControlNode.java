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
import sandstack.configuration.ChangeRejection;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.CommittedChangeListener;
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
    private final SnapshotConsistencyCheck snapshotConsistency;
    private final SnapshotStallDetector stallDetector;
    private volatile RaftNode raftNode;
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
            CommittedChangeListener listener)
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
        this.stallDetector = new SnapshotStallDetector(settings.timeouts().heartbeatTimeout());
        this.snapshotConsistency = new SnapshotConsistencyCheck(environment.store());
        this.raftNode = buildRaftNode();
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
        return raftNode.start().thenApply(ignored -> null);
    }

    /** Takes part no longer; proposals that are out become indeterminate. */
    public CompletionStage<Void> stop() {
        return raftNode.terminate().thenApply(ignored -> null);
    }

    /** A message of another control machine arrived. */
    public void handle(RaftMessage message) {
        environment.executor().execute(() -> handleOnExecutor(message));
    }

    private void handleOnExecutor(RaftMessage message) {
        if (restarting) {
            return;
        }
        boolean stalled = stallDetector.isStalledBy(message, environment.clock().millis());
        if (stalled
                || snapshotConsistency
                        .firstConflictingIndex(message, currentTerm())
                        .isPresent()) {
            restartRaftNode(message);
        } else {
            raftNode.handle(snapshotConsistency.withoutStoredEntries(message));
        }
    }

    /** The library's node is begun anew over the store; messages until then are lost, as on any network. */
    private void restartRaftNode(RaftMessage message) {
        restarting = true;
        raftNode.terminate().whenComplete((ignored, failure) -> {
            try {
                removeConflictingEntries(message);
                raftNode = buildRaftNode();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            restarting = false;
            raftNode.start();
        });
    }

    /** Asked again now that the node handles nothing more: a later leader may have confirmed the entries meanwhile. */
    private void removeConflictingEntries(RaftMessage message) throws IOException {
        OptionalLong firstConflicting = snapshotConsistency.firstConflictingIndex(message, currentTerm());
        if (firstConflicting.isPresent()) {
            environment.store().truncateLogEntriesFrom(firstConflicting.getAsLong());
            environment.store().flush();
        }
    }

    /**
     * Asks for a change. Answered at once where this machine cannot have it agreed on, and in any case within the
     * proposal timeout, as long as the executor runs.
     */
    public CompletionStage<ProposalOutcome> propose(IdempotencyKey key, ConfigurationChange change) {
        Optional<ChangeRejection> rejection = validator.validateContent(change);
        if (rejection.isPresent()) {
            return CompletableFuture.completedFuture(new ProposalOutcome.Rejected(rejection.get()));
        }
        Optional<ProposalOutcome> outcome = outcomeUnlessLeader();
        if (outcome.isPresent()) {
            return CompletableFuture.completedFuture(outcome.get());
        }
        LogOperation.Proposal proposal = new LogOperation.Proposal(key, codec.encode(change));
        return raftNode.getReport()
                .thenCompose(report -> hasRecentQuorumHeartbeat(report.getResult())
                        ? replicate(proposal)
                        : CompletableFuture.completedFuture(rejectedWithoutQuorum()))
                .exceptionally(failure -> outcomeOfFailure(key, failure));
    }

    /** The version at which a change was agreed on, as far as this machine has applied the log and remembers. */
    public CompletionStage<Optional<ConfigurationVersion>> committedVersionOf(IdempotencyKey key) {
        CompletableFuture<Optional<ConfigurationVersion>> version = new CompletableFuture<>();
        environment.executor().submit(() -> version.complete(stateMachine.committedVersionOf(key)));
        return version;
    }

    /** Whom this machine believes to lead. */
    public Optional<ControlIdentity> leader() {
        return Optional.ofNullable((ControlIdentity) raftNode.getTerm().getLeaderEndpoint());
    }

    /** The term that this machine is in. */
    public long currentTerm() {
        return raftNode.getTerm().getTerm();
    }

    /** The members that are agreed on. */
    public RaftGroupMembers members() {
        return raftNode.getCommittedMembers();
    }

    /** Has a machine admitted, promoted or removed; asked of the leader with the index of the members that it saw. */
    public CompletionStage<RaftGroupMembers> changeMembership(
            ControlIdentity machine, MembershipChangeMode mode, long membersLogIndex) {
        return raftNode.changeMembership(machine, mode, membersLogIndex).thenApply(ordered -> ordered.getResult());
    }

    /** What the library tells of the node, for the operators' figures. */
    public CompletionStage<RaftNodeReport> report() {
        return raftNode.getReport().thenApply(ordered -> ordered.getResult());
    }

    /** The configuration as this machine has applied it; read on the executor's thread. */
    ConfigurationSnapshot current() {
        return stateMachine.current();
    }

    private Optional<ProposalOutcome> outcomeUnlessLeader() {
        Optional<ControlIdentity> leader = leader();
        if (leader.isEmpty()) {
            return Optional.of(rejectedWithoutQuorum());
        }
        return leader.get().equals(settings.self())
                ? Optional.empty()
                : Optional.of(new ProposalOutcome.NotLeader(leader.get()));
    }

    /** A leader that misses two heartbeats of a quorum puts nothing more to the others, before it is given up. */
    private boolean hasRecentQuorumHeartbeat(RaftNodeReport report) {
        if (report.getRole() != RaftRole.LEADER) {
            return false;
        }
        Duration maxAge = settings.timeouts().heartbeatPeriod().multipliedBy(2);
        long nowMillis = environment.clock().millis();
        return report.getQuorumHeartbeatTimestamp()
                .map(heardMillis -> nowMillis - heardMillis <= maxAge.toMillis())
                .orElse(false);
    }

    private CompletableFuture<ProposalOutcome> replicate(LogOperation.Proposal proposal) {
        CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
        raftNode.<ProposalOutcome>replicate(proposal).whenComplete((ordered, failure) -> {
            if (failure == null) {
                outcome.complete(ordered.getResult());
            } else {
                outcome.complete(outcomeOfFailure(proposal.key(), failure));
            }
        });
        long timeoutMillis = settings.timeouts().proposalTimeout().toMillis();
        environment
                .executor()
                .schedule(
                        () -> outcome.complete(new ProposalOutcome.Indeterminate(proposal.key())),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        return outcome;
    }

    private ProposalOutcome outcomeOfFailure(IdempotencyKey key, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof NotLeaderException) {
            return outcomeUnlessLeader().orElseGet(this::rejectedWithoutQuorum);
        }
        if (cause instanceof CannotReplicateException) {
            return new ProposalOutcome.Rejected(new ChangeRejection(
                    ChangeRejection.Reason.TOO_MANY,
                    "more than " + settings.maxPendingProposals() + " proposals are out, or the members change"));
        }
        return new ProposalOutcome.Indeterminate(key);
    }

    private ProposalOutcome rejectedWithoutQuorum() {
        return new ProposalOutcome.Rejected(new ChangeRejection(
                ChangeRejection.Reason.NO_QUORUM, settings.self() + " knows of no leader that reaches a quorum"));
    }
}
