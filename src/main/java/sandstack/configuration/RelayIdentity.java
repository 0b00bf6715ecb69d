package sandstack.configuration;

import java.util.Objects;

/**
 * The identity of a relay towards the control machines.
 *
 * @param name unique in the fleet
 * @param region in which it runs; the control machines of the region are preferred
 */
public record RelayIdentity(String name, String region) {
    /** Rejects null. */
    public RelayIdentity {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
    }
}
