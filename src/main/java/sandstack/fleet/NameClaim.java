package sandstack.fleet;

import java.util.Optional;

/**
 * An incarnation's claim to its relay name. It owns the name if no conflict has been detected {@link #CLAIM_MICROS}
 * after its first tick, and then keeps it until it ends. Of two incarnations that start at the same time, the one with
 * the lower id wins. Two on different sides of a partition may both own the name.
 *
 * <p>Not thread-safe. A call costs O(1).
 */
final class NameClaim {
    static final long CLAIM_MICROS = 1_500_000;

    private final Incarnation self;
    /** Negative before the first tick. */
    private long firstTickMicros = -1;

    private boolean owned;
    private String ownerId;

    NameClaim(Incarnation self) {
        this.self = self;
    }

    void tick(long nowMicros) {
        firstTickMicros = firstTickMicros < 0 ? nowMicros : firstTickMicros;
        owned |= ownerId == null && nowMicros - firstTickMicros >= CLAIM_MICROS;
    }

    /**
     * Another incarnation has sent a message; ignored once this claim is won or lost.
     *
     * @param otherOwnsName whether the other incarnation owns its name
     */
    void messageReceived(String id, String name, boolean otherOwnsName) {
        if (owned || ownerId != null) {
            return;
        }
        boolean conflict = name.equals(self.name()) && !id.equals(self.id());
        if (conflict && (otherOwnsName || id.compareTo(self.id()) < 0)) {
            ownerId = id;
        }
    }

    boolean owned() {
        return owned;
    }

    /** The id of the incarnation to which the claim was lost; empty if it was not. */
    Optional<String> ownerId() {
        return Optional.ofNullable(ownerId);
    }
}
