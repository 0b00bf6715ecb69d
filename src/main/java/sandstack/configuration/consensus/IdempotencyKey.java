package sandstack.configuration.consensus;

import java.util.UUID;

/**
 * The idempotency key that a client gives to one change, the same in each attempt to have it committed. The same change
 * under the same key is applied once.
 */
public record IdempotencyKey(long high, long low) {
    /** The key with the bits of a UUID. */
    public static IdempotencyKey of(UUID uuid) {
        return new IdempotencyKey(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
    }

    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }
}
