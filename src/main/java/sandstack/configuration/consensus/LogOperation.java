package sandstack.configuration.consensus;

import java.util.Arrays;
import java.util.Objects;

/** The operation of a log entry, which the state machine applies once the entry is committed. */
public sealed interface LogOperation {
    /**
     * The first entry that each leader appends; the entries after it belong to this term. The state machine needs it,
     * because MicroRaft does not pass the term of an entry.
     */
    record NewTerm(long term) implements LogOperation {}

    /**
     * A configuration change that a client proposes.
     *
     * @param encodedChange the change as {@link sandstack.configuration.ConfigurationCodec} encodes it; not copied, and
     *     must not be modified
     */
    record Proposal(IdempotencyKey key, byte[] encodedChange) implements LogOperation {
        /** Creates the operation; neither key nor change is null. */
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
