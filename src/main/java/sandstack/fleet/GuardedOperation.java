package sandstack.fleet;

import java.util.EnumSet;
import java.util.Set;

/** An operation on behalf of the fleet that may begin only in certain quorum states. */
public interface GuardedOperation {
    /** The quorum states in which it may begin. */
    Set<QuorumState> allowedStates();

    /** Operations on the membership that operators request. */
    enum OperatorOperation implements GuardedOperation {
        /**
         * Removes a lost relay from the size of the fleet. After that, half of the previous number of relays may be a
         * majority. Not allowed in {@link QuorumState#COMPLETE}, where no configured relay is lost, and in
         * {@link QuorumState#UNKNOWN}, where the view of this member may be stale.
         */
        DECOMMISSION_RELAY;

        @Override
        public Set<QuorumState> allowedStates() {
            return switch (this) {
                case DECOMMISSION_RELAY -> EnumSet.of(QuorumState.MAJORITY, QuorumState.MINORITY, QuorumState.ISOLATED);
            };
        }
    }
}
