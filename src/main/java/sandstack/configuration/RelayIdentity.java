package sandstack.configuration;

import java.util.Objects;

/**
 * The identity of a relay. It determines the relay's order of preference of the control machines, to which the relay
 * sends its name. Immutable.
 *
 * @param name the name of the relay, unique in the fleet
 * @param region the region in which it runs; the control machines of this region are preferred
 */
public record RelayIdentity(String name, String region) {
    /**
     * Creates an identity.
     *
     * @throws NullPointerException if the name or the region is null
     */
    public RelayIdentity {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
    }
}
