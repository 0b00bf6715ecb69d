package sandstack.configuration.consensus;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sandstack.configuration.AgreedChangeListener;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.ChangeRefusal;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationHistory;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.FieldWriter;
import sandstack.configuration.MalformedConfigurationException;

/**
 * Applies committed log entries to the configuration, alike on every control machine: the outcome depends on nothing but
 * the entries before and the limits, which all machines have to share. A proposal that does not validate changes nothing.
 * Called on the Raft node's thread only.
 */
class ConfigurationStateMachine implements StateMachine {
    /** Proposals whose outcome is remembered: some hours at 3,700 changes a day. */
    static final int REMEMBERED_PROPOSALS = 1_024;
    /** The longest part of a snapshot, so that one message stays small. */
    static final int CHUNK_BYTES = 64 << 10;

    private static final int STATE_FORMAT = 1;

    private final ConfigurationCodec codec;
    private final ConfigurationHistory history;
    private final LongSupplier leaderTerm;
    private final AgreedProposals agreedProposals = new AgreedProposals(REMEMBERED_PROPOSALS);
    private long term;

    /**
     * Begins before the first change.
     *
     * @param leaderTerm the Raft node's term, read where this machine becomes leader
     * @param listener is told each agreed change in order, once in the life of this object
     */
    ConfigurationStateMachine(ChangeValidator validator, AgreedChangeListener listener, LongSupplier leaderTerm) {
        this.codec = new ConfigurationCodec(validator.limits());
        this.history = new ConfigurationHistory(validator, listener);
        this.leaderTerm = leaderTerm;
    }

    /** The configuration after the last applied change. */
    ConfigurationSnapshot current() {
        return history.current();
    }

    /** At which version a proposal was agreed on, as far as this machine has applied the log and remembers. */
    Optional<ConfigurationVersion> versionOf(ChangeId id) {
        return agreedProposals.versionOf(id);
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
        throw new IllegalArgumentException("the log holds an unknown operation at " + commitIndex);
    }

    @Override
    public Object getNewTermOperation() {
        return new LogOperation.NewTerm(leaderTerm.getAsLong());
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        byte[] state = encodeState();
        for (int start = 0; start < state.length; start += CHUNK_BYTES) {
            int end = Math.min(state.length, start + CHUNK_BYTES);
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
            throw new IllegalStateException("the snapshot at " + commitIndex + " is unusable: " + e.getMessage(), e);
        }
    }

    private ProposalOutcome apply(LogOperation.Proposal proposal) {
        Optional<ConfigurationVersion> before = agreedProposals.versionOf(proposal.id());
        if (before.isPresent()) {
            return new ProposalOutcome.Agreed(before.get());
        }
        ConfigurationChange change;
        try {
            change = codec.decodeChange(proposal.encodedChange());
        } catch (MalformedConfigurationException e) {
            return new ProposalOutcome.Refused(e.refusal());
        }
        return outcomeOf(proposal.id(), history.committed(term, change));
    }

    private ProposalOutcome outcomeOf(ChangeId id, ConfigurationHistory.Outcome outcome) {
        if (outcome instanceof ConfigurationHistory.Outcome.Accepted accepted) {
            ConfigurationVersion version = accepted.change().version();
            agreedProposals.add(id, version);
            return new ProposalOutcome.Agreed(version);
        }
        ChangeRefusal refusal = ((ConfigurationHistory.Outcome.Refused) outcome).refusal();
        return new ProposalOutcome.Refused(refusal);
    }

    private byte[] encodeState() {
        FieldWriter out = new FieldWriter().writeInt(STATE_FORMAT).writeLong(term);
        agreedProposals.write(out);
        return out.writeBytes(codec.encode(history.current())).toBytes();
    }

    private void restoreState(byte[] state) throws MalformedConfigurationException {
        BoundedReader in = new BoundedReader(state);
        int format = in.readInt();
        if (format != STATE_FORMAT) {
            throw new MalformedConfigurationException(
                    "state format " + format + ", this release knows " + STATE_FORMAT);
        }
        long restoredTerm = in.readLong();
        agreedProposals.read(in);
        ConfigurationSnapshot snapshot = codec.decodeSnapshot(in.readBytes(codec.mostSnapshotBytes()));
        in.requireEnd();
        term = restoredTerm;
        history.restore(snapshot);
    }
}
