package sandstack.fleet;

import java.util.EnumSet;
import java.util.Set;

/** Something that a part of the program does for the fleet. Each part names its acts, and for each where it is allowed. */
public interface GuardedOperation {
    /** The grounds on which it is allowed. */
    Set<QuorumState> allowedOn();

    /** What the membership itself does at the word of staff. */
    enum OfStaff implements GuardedOperation {
        /** A lost relay is no longer counted: with fewer to count, a half may become a majority. */
        TAKE_OUT(EnumSet.of(QuorumState.MOST, QuorumState.FEW, QuorumState.ALONE));

        private final Set<QuorumState> on;

        OfStaff(Set<QuorumState> on) {
            this.on = on;
        }

        @Override
        public Set<QuorumState> allowedOn() {
            return on;
        }
    }
}
