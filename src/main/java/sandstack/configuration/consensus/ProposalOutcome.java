package sandstack.configuration.consensus;

import java.util.Objects;
import sandstack.configuration.ChangeRejection;
import sandstack.configuration.ConfigurationVersion;

/** What became of one attempt to have a change agreed on. */
public sealed interface ProposalOutcome {
    /** The change is in the one order at this version; also the answer to an attempt repeated later. */
    record Committed(ConfigurationVersion version) implements ProposalOutcome {}

    /**
     * This attempt changes nothing, now or later. With {@code NO_QUORUM} and {@code TOO_MANY} it was not put to the
     * others; an earlier attempt whose outcome was {@link Indeterminate} may still be agreed on.
     */
    record Rejected(ChangeRejection rejection) implements ProposalOutcome {
        /** Refuses null. */
        public Rejected {
            Objects.requireNonNull(rejection, "rejection");
        }
    }

    /** This machine does not lead, nothing was done; the leader that it knows of may answer. */
    record NotLeader(ControlIdentity leader) implements ProposalOutcome {
        /** Refuses null. */
        public NotLeader {
            Objects.requireNonNull(leader, "leader");
        }
    }

    /** The change may be agreed on, now or later, or never. Proposing it again under the same id tells. */
    record Indeterminate(IdempotencyKey key) implements ProposalOutcome {}
}
