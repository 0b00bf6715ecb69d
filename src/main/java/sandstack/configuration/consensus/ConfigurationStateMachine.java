package sandstack.configuration.consensus;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.ChangeRejection;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationHistory;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.FieldWriter;
import sandstack.configuration.MalformedConfigurationException;

/**
 * Applies committed log entries to the configuration. The outcome of an entry depends only on the preceding entries and
 * on the limits, which must be equal on all machines (State Machine Safety, section 5.4.3 of the Raft paper). An
 * invalid proposal leaves the configuration unchanged. Called on the Raft node's thread only.
 */
class ConfigurationStateMachine implements StateMachine {
    /** Number of committed proposals whose keys are kept for retries: those of some hours at 3,700 changes a day. */
    static final int MAX_RETAINED_PROPOSALS = 1_024;
    /** Maximum size of a snapshot chunk; bounds the size of the message that carries it. */
    static final int MAX_CHUNK_BYTES = 64 << 10;

    private static final int STATE_FORMAT_VERSION = 1;

    private final ConfigurationCodec codec;
    private final ConfigurationHistory history;
    private final LongSupplier leaderTerm;
    private final CommittedProposals committedProposals = new CommittedProposals(MAX_RETAINED_PROPOSALS);
    /** The term of the last applied {@link LogOperation.NewTerm}; later entries belong to it. */
    private long term;

    /**
     * Creates the state before the first change.
     *
     * @param leaderTerm supplies the term of the Raft node; called when this machine becomes leader
     * @param listener receives each committed change in order, once per instance
     */
    ConfigurationStateMachine(ChangeValidator validator, CommittedChangeListener listener, LongSupplier leaderTerm) {
        this.codec = new ConfigurationCodec(validator.limits());
        this.history = new ConfigurationHistory(validator, listener);
        this.leaderTerm = leaderTerm;
    }

    /** Returns the configuration after the last applied change. */
    ConfigurationSnapshot current() {
        return history.current();
    }

    /**
     * Returns the version at which a proposal was committed; empty if it has not been applied yet, or its key has been
     * dropped since.
     */
    Optional<ConfigurationVersion> committedVersionOf(IdempotencyKey key) {
        return committedProposals.committedVersionOf(key);
    }

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        if (operation instanceof LogOperation.NewTerm newTerm) {
            term = newTerm.term();
            return null;
        }
        if (operation instanceof LogOperation.Proposal proposal) {
            return apply(proposal);
        }
        throw new IllegalArgumentException("log entry " + commitIndex + " holds an unknown operation " + operation);
    }

    @Override
    public Object getNewTermOperation() {
        return new LogOperation.NewTerm(leaderTerm.getAsLong());
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        byte[] state = encodeState();
        for (int start = 0; start < state.length; start += MAX_CHUNK_BYTES) {
            int end = Math.min(state.length, start + MAX_CHUNK_BYTES);
            chunks.accept(new StateChunk(Arrays.copyOfRange(state, start, end)));
        }
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        ByteArrayOutputStream state = new ByteArrayOutputStream();
        for (Object chunk : chunks) {
            state.writeBytes(((StateChunk) chunk).bytes());
        }
        try {
            restoreState(state.toByteArray());
        } catch (MalformedConfigurationException e) {
            throw new UnusableSnapshotException(commitIndex, e);
        }
    }

    private ProposalOutcome apply(LogOperation.Proposal proposal) {
        Optional<ConfigurationVersion> earlier = committedProposals.committedVersionOf(proposal.key());
        if (earlier.isPresent()) {
            return new ProposalOutcome.Committed(earlier.get());
        }
        ConfigurationChange change;
        try {
            change = codec.decodeChange(proposal.encodedChange());
        } catch (MalformedConfigurationException e) {
            return new ProposalOutcome.Rejected(e.toRejection());
        }
        return outcomeOf(proposal.key(), history.applyCommitted(term, change));
    }

    private ProposalOutcome outcomeOf(IdempotencyKey key, ConfigurationHistory.Outcome outcome) {
        if (outcome instanceof ConfigurationHistory.Outcome.Accepted accepted) {
            ConfigurationVersion version = accepted.change().version();
            committedProposals.add(key, version);
            return new ProposalOutcome.Committed(version);
        }
        ChangeRejection rejection = ((ConfigurationHistory.Outcome.Rejected) outcome).rejection();
        return new ProposalOutcome.Rejected(rejection);
    }

    private byte[] encodeState() {
        FieldWriter out = new FieldWriter().writeInt(STATE_FORMAT_VERSION).writeLong(term);
        committedProposals.write(out);
        return out.writeBytes(codec.encode(history.current())).toBytes();
    }

    private void restoreState(byte[] state) throws MalformedConfigurationException {
        BoundedReader in = new BoundedReader(state);
        int format = in.readInt();
        if (format != STATE_FORMAT_VERSION) {
            throw new MalformedConfigurationException(
                    "state format " + format + ", this release reads " + STATE_FORMAT_VERSION);
        }
        long restoredTerm = in.readLong();
        committedProposals.read(in);
        ConfigurationSnapshot snapshot = codec.decodeSnapshot(in.readBytes(codec.maxSnapshotBytes()));
        in.requireEnd();
        term = restoredTerm;
        history.restore(snapshot);
    }
}
