package sandstack.configuration.consensus;

import java.util.Objects;
import sandstack.configuration.ChangeRejection;
import sandstack.configuration.ConfigurationVersion;

/** The outcome of one attempt to have a change committed. */
public sealed interface ProposalOutcome {
    /** The change is committed at this version; retries return this version as long as the key is retained. */
    record Committed(ConfigurationVersion version) implements ProposalOutcome {}

    /**
     * This attempt does not change the configuration, now or later. If the reason is {@code NO_QUORUM} or
     * {@code TOO_MANY}, the change was not replicated, and an earlier attempt whose outcome was {@link Indeterminate}
     * may still be committed.
     */
    record Rejected(ChangeRejection rejection) implements ProposalOutcome {
        /** Creates the outcome; the rejection is never null. */
        public Rejected {
            Objects.requireNonNull(rejection, "rejection");
        }
    }

    /** This machine is not the leader and did not replicate the change; this leader may accept it. */
    record NotLeader(ControlIdentity leader) implements ProposalOutcome {
        /** Creates the outcome; the leader is never null. */
        public NotLeader {
            Objects.requireNonNull(leader, "leader");
        }
    }

    /**
     * The change may be committed now, later or never. To find out, propose it again under the same key, which does not
     * apply it twice.
     */
    record Indeterminate(IdempotencyKey key) implements ProposalOutcome {}
}
