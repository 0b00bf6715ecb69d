package sandstack.fleet;

import java.util.EnumSet;
import java.util.Set;

/** An operation on behalf of the fleet that may begin only in certain quorum states. */
public interface GuardedOperation {
    /** The quorum states in which it may begin. */
    Set<QuorumState> allowedStates();

    /** Operations of the membership itself, at the request of an operator. */
    enum OperatorOperation implements GuardedOperation {
        /** Stops counting a lost relay. With fewer relays to count, a half may become a majority. */
        DECOMMISSION_RELAY;

        @Override
        public Set<QuorumState> allowedStates() {
            return switch (this) {
                case DECOMMISSION_RELAY -> EnumSet.of(QuorumState.MAJORITY, QuorumState.MINORITY, QuorumState.ISOLATED);
            };
        }
    }
}
