package sandstack.configuration.consensus;

import java.util.Objects;
import sandstack.configuration.ChangeRejection;
import sandstack.configuration.ConfigurationVersion;

/** What became of one attempt to have a change committed. */
public sealed interface ProposalOutcome {
    /** The change is committed at this version; also the answer to a later retry. */
    record Committed(ConfigurationVersion version) implements ProposalOutcome {}

    /**
     * This attempt changes nothing, now or later. With {@code NO_QUORUM} and {@code TOO_MANY} it was not replicated; an
     * earlier attempt whose outcome was {@link Indeterminate} may still be committed.
     */
    record Rejected(ChangeRejection rejection) implements ProposalOutcome {
        /** Rejects null. */
        public Rejected {
            Objects.requireNonNull(rejection, "rejection");
        }
    }

    /** This machine does not lead and did nothing; the leader that it knows of may accept the change. */
    record NotLeader(ControlIdentity leader) implements ProposalOutcome {
        /** Rejects null. */
        public NotLeader {
            Objects.requireNonNull(leader, "leader");
        }
    }

    /** The change may be committed, now or later, or never. Proposing it again under the same key tells. */
    record Indeterminate(IdempotencyKey key) implements ProposalOutcome {}
}
