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
         * Removes a lost relay from the size of the fleet. Half of the previous number of relays may be a majority of
         * the smaller fleet.
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
