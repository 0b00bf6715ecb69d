package sandstack.configuration.consensus;

import java.util.Arrays;
import java.util.Objects;

/** An operation of the replicated log, which the state machine applies. */
public sealed interface LogOperation {
    /**
     * The first entry of each leader: the operations after it belong to this term. MicroRaft does not pass the term of
     * an entry to the state machine.
     */
    record NewTerm(long term) implements LogOperation {}

    /**
     * A change that a client proposes.
     *
     * @param encodedChange as {@link sandstack.configuration.ConfigurationCodec} writes it; never modified
     */
    record Proposal(IdempotencyKey key, byte[] encodedChange) implements LogOperation {
        /** Rejects null. */
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
