package sandstack.configuration.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftRole;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sandstack.concurrent.Futures;
import sandstack.configuration.ChangeRejection;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;

/**
 * Runs the Raft node of one control machine: replicates proposals while this machine is the leader, and passes
 * committed changes to a listener. All public methods may be called on any thread. A stage that is not yet complete
 * when it is returned completes on a thread of the executor.
 */
public final class ControlNode {
    /** Creates the state machine; {@code leaderTerm} supplies the current term of the Raft node. */
    @FunctionalInterface
    interface StateMachineFactory {
        ConfigurationStateMachine create(LongSupplier leaderTerm);
    }

    private final ControlNodeSettings settings;
    private final ControlNodeEnvironment environment;
    private final ChangeValidator validator;
    private final ConfigurationCodec codec;
    private final ConfigurationStateMachine stateMachine;
    private final RestartableRaftNode raftNode;

    /**
     * Creates the node. It neither sends messages nor votes before {@link #start}.
     *
     * @throws IOException if the store cannot be read or is rejected
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
            StateMachineFactory stateMachineFactory)
            throws IOException {
        this.settings = settings;
        this.environment = environment;
        this.validator = validator;
        this.codec = new ConfigurationCodec(validator.limits());
        this.stateMachine = stateMachineFactory.create(this::currentTerm);
        this.raftNode = new RestartableRaftNode(settings, environment, stateMachine);
    }

    /** Starts the Raft node; from then on it may vote and become leader. */
    public CompletionStage<Void> start() {
        return raftNode.current().start().thenApply(ignored -> null);
    }

    /** Terminates the Raft node; the outcomes of pending proposals become indeterminate. */
    public CompletionStage<Void> stop() {
        return raftNode.current().terminate().thenApply(ignored -> null);
    }

    /** Handles a message that another control machine sent. */
    public void handle(RaftMessage message) {
        raftNode.handle(message);
    }

    /**
     * Proposes a change. The stage completes without waiting for other machines if this machine cannot commit the
     * change: its content is invalid, or this machine is not a leader with a recent heartbeat quorum. In any case it
     * completes within the proposal timeout, as long as the executor runs.
     *
     * @param key the same in each attempt to have this change committed
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
        return raftNode.current()
                .getReport()
                .thenCompose(report -> hasRecentQuorumHeartbeat(report.getResult())
                        ? replicate(proposal)
                        : CompletableFuture.completedFuture(rejectedWithoutQuorum()))
                .exceptionally(failure -> outcomeOfFailure(key, failure));
    }

    /**
     * Returns the version at which a change was committed; empty if this machine has not applied the change yet, or has
     * dropped its key since.
     */
    public CompletionStage<Optional<ConfigurationVersion>> committedVersionOf(IdempotencyKey key) {
        CompletableFuture<Optional<ConfigurationVersion>> version = new CompletableFuture<>();
        environment.executor().submit(() -> version.complete(stateMachine.committedVersionOf(key)));
        return version;
    }

    /** Returns the leader of the current term; empty if it is not known. */
    public Optional<ControlIdentity> leader() {
        return Optional.ofNullable(
                (ControlIdentity) raftNode.current().getTerm().getLeaderEndpoint());
    }

    /** Returns Raft's current term on this machine. */
    public long currentTerm() {
        return raftNode.current().getTerm().getTerm();
    }

    /** Returns the members of the group as of the last committed membership change. */
    public RaftGroupMembers members() {
        return raftNode.current().getCommittedMembers();
    }

    /**
     * Adds, promotes or removes a machine; fails on any machine except the leader. At most one membership change may be
     * in progress (section 4.1 of the Raft dissertation).
     *
     * @param membersLogIndex log index of the members on which the caller bases the change; the change fails if they
     *     have changed since
     */
    public CompletionStage<RaftGroupMembers> changeMembership(
            ControlIdentity machine, MembershipChangeMode mode, long membersLogIndex) {
        return raftNode.current()
                .changeMembership(machine, mode, membersLogIndex)
                .thenApply(ordered -> ordered.getResult());
    }

    /** Returns MicroRaft's report on the node (role, term, log and heartbeats), for monitoring. */
    public CompletionStage<RaftNodeReport> report() {
        return raftNode.current().getReport().thenApply(ordered -> ordered.getResult());
    }

    /** Returns the configuration after the last change that this machine applied; called on the executor's thread. */
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

    /**
     * Whether this machine is a leader to which a quorum has responded within the last two heartbeat periods. A leader
     * without these responses already rejects proposals; it steps down only after the longer heartbeat timeout.
     */
    private boolean hasRecentQuorumHeartbeat(RaftNodeReport report) {
        if (report.getRole() != RaftRole.LEADER) {
            return false;
        }
        Duration maxAge = settings.timeouts().heartbeatPeriod().multipliedBy(2);
        long nowMillis = environment.clock().millis();
        return report.getQuorumHeartbeatTimestamp()
                .map(heartbeatMillis -> nowMillis - heartbeatMillis <= maxAge.toMillis())
                .orElse(false);
    }

    private CompletableFuture<ProposalOutcome> replicate(LogOperation.Proposal proposal) {
        CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
        // the callback completes the outcome on success and on failure
        Futures.ignore(raftNode.current().<ProposalOutcome>replicate(proposal).whenComplete((ordered, failure) -> {
            if (failure == null) {
                outcome.complete(ordered.getResult());
            } else {
                outcome.complete(outcomeOfFailure(proposal.key(), failure));
            }
        }));
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
                    "the maximum of " + settings.maxPendingProposals()
                            + " proposals are pending, or a membership change is in progress"));
        }
        return new ProposalOutcome.Indeterminate(key);
    }

    private ProposalOutcome rejectedWithoutQuorum() {
        return new ProposalOutcome.Rejected(new ChangeRejection(
                ChangeRejection.Reason.NO_QUORUM, settings.self() + ": no leader with a quorum is known"));
    }
}
