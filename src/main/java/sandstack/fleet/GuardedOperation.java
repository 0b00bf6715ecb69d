package sandstack.fleet;

import java.util.EnumSet;
import java.util.Set;

/** Something that a part of the program does for the fleet. Each part names its acts, and for each where it is allowed. */
public interface GuardedOperation {
    /** The grounds on which it is allowed. */
    Set<QuorumState> allowedStates();

    /** What the membership itself does at the word of staff. */
    enum OperatorOperation implements GuardedOperation {
        /** A lost relay is no longer counted: with fewer to count, a half may become a majority. */
        DECOMMISSION_RELAY(EnumSet.of(QuorumState.MAJORITY, QuorumState.MINORITY, QuorumState.ISOLATED));

        private final Set<QuorumState> states;

        OperatorOperation(Set<QuorumState> states) {
            this.states = states;
        }

        @Override
        public Set<QuorumState> allowedStates() {
            return states;
        }
    }
}
