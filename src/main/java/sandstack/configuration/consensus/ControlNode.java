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
 * One control machine's part in the consensus: replicates proposals where it leads, and reports to its listener what
 * was committed. All methods may be called on any thread; stages complete on the executor's.
 */
public final class ControlNode {
    /** Makes the state machine, given how the term of the Raft node is read. */
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
     * Builds the node; it takes part from {@link #start} on.
     *
     * @throws IOException where the store cannot be read or is rejected
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
        this.raftNode = new RestartableRaftNode(settings, environment, stateMachine);
    }

    /** Starts to take part: to vote, to follow or to lead. */
    public CompletionStage<Void> start() {
        return raftNode.current().start().thenApply(ignored -> null);
    }

    /** Stops taking part; pending proposals become indeterminate. */
    public CompletionStage<Void> stop() {
        return raftNode.current().terminate().thenApply(ignored -> null);
    }

    /** A message of another control machine arrived. */
    public void handle(RaftMessage message) {
        raftNode.handle(message);
    }

    /**
     * Proposes a change. Completes at once where this machine cannot have it committed, and in any case within the
     * proposal timeout, as long as the executor runs.
     *
     * @param key the same for each attempt of the same change
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

    /** The version at which a change was committed, as far as this machine has applied the log and remembers. */
    public CompletionStage<Optional<ConfigurationVersion>> committedVersionOf(IdempotencyKey key) {
        CompletableFuture<Optional<ConfigurationVersion>> version = new CompletableFuture<>();
        environment.executor().submit(() -> version.complete(stateMachine.committedVersionOf(key)));
        return version;
    }

    /** The leader that this machine knows of. */
    public Optional<ControlIdentity> leader() {
        return Optional.ofNullable(
                (ControlIdentity) raftNode.current().getTerm().getLeaderEndpoint());
    }

    /** The current term of this machine. */
    public long currentTerm() {
        return raftNode.current().getTerm().getTerm();
    }

    /** The committed members of the group. */
    public RaftGroupMembers members() {
        return raftNode.current().getCommittedMembers();
    }

    /**
     * Admits, promotes or removes a machine; only the leader can. One change at a time (section 4.1 of the Raft
     * dissertation).
     *
     * @param membersLogIndex index of the members that the caller saw; the change is rejected where they changed since
     */
    public CompletionStage<RaftGroupMembers> changeMembership(
            ControlIdentity machine, MembershipChangeMode mode, long membersLogIndex) {
        return raftNode.current()
                .changeMembership(machine, mode, membersLogIndex)
                .thenApply(ordered -> ordered.getResult());
    }

    /** The library's report of the node, for monitoring. */
    public CompletionStage<RaftNodeReport> report() {
        return raftNode.current().getReport().thenApply(ordered -> ordered.getResult());
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

    /** A leader that misses two heartbeats of a quorum replicates nothing more, before it steps down. */
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
        // the callback completes the outcome in both cases
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
                    "more than " + settings.maxPendingProposals()
                            + " proposals are pending, or a membership change is in progress"));
        }
        return new ProposalOutcome.Indeterminate(key);
    }

    private ProposalOutcome rejectedWithoutQuorum() {
        return new ProposalOutcome.Rejected(new ChangeRejection(
                ChangeRejection.Reason.NO_QUORUM, settings.self() + " knows of no leader that reaches a quorum"));
    }
}
