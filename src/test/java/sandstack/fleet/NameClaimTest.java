package sandstack.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Conflicts between two incarnations with the same name. */
class NameClaimTest {
    private final NameClaim claim = new NameClaim(new Incarnation("m", "edge-1", "z", "k", "a"));

    @Test
    void nameIsOwnedOnceTheClaimHasLastedLongEnough() {
        claim.tick(10);
        claim.tick(10 + NameClaim.CLAIM_MICROS - 1);
        assertThat(claim.owned()).isFalse();
        claim.tick(10 + NameClaim.CLAIM_MICROS);
        assertThat(claim.owned()).isTrue();
    }

    @Test
    void lowerIdWinsWhileBothStart() {
        claim.messageReceived("n", "edge-1", false);
        claim.messageReceived("a", "edge-2", false);
        claim.messageReceived("m", "edge-1", false);
        assertThat(claim.ownerId()).isEmpty();
        claim.messageReceived("a", "edge-1", false);
        assertThat(claim.ownerId()).hasValue("a");
        claim.tick(0);
        claim.tick(NameClaim.CLAIM_MICROS);
        assertThat(claim.owned()).isFalse();
    }

    @Test
    void ownerKeepsItsName() {
        claim.messageReceived("n", "edge-1", true);
        assertThat(claim.ownerId()).hasValue("n");
    }

    @Test
    void ownedNameIsKeptAndLaterMessagesAreIgnored() {
        claim.tick(0);
        claim.tick(NameClaim.CLAIM_MICROS);
        claim.messageReceived("a", "edge-1", true);
        claim.messageReceived("a", null, true);
        assertThat(claim.ownerId()).isEmpty();
        assertThat(claim.owned()).isTrue();
    }
}
