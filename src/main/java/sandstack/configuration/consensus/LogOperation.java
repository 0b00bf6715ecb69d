package sandstack.configuration.consensus;

import java.util.Arrays;
import java.util.Objects;

/** What the state machine is told by the replicated log. */
public sealed interface LogOperation {
    /**
     * The first entry of each leader: the operations after it belong to this term. MicroRaft does not tell the state
     * machine the term of an entry.
     */
    record NewTerm(long term) implements LogOperation {}

    /**
     * A change that a client asks for.
     *
     * @param encodedChange as {@link sandstack.configuration.ConfigurationCodec} writes it; never modified
     */
    record Proposal(IdempotencyKey key, byte[] encodedChange) implements LogOperation {
        /** Refuses nulls. */
        public Proposal {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(encodedChange, "encodedChange");
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Proposal that
                    && key.equals(that.key)
                    && Arrays.equals(encodedChange, that.encodedChange);
        }

        @Override
        public int hashCode() {
            return key.hashCode();
        }
    }
}
