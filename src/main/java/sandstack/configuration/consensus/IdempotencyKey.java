package sandstack.configuration.consensus;

import java.util.UUID;

/**
 * Identifies one change of one client. The client sends the same key in each attempt to have the change committed, so
 * that the change is applied at most once.
 */
public record IdempotencyKey(long high, long low) {
    /** Creates the key with the 128 bits of a UUID. */
    public static IdempotencyKey of(UUID uuid) {
        return new IdempotencyKey(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
    }

    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }
}
