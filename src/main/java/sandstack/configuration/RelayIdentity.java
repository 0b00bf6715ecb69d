package sandstack.configuration;

import java.util.Objects;

/**
 * Who a relay is to the control machines.
 *
 * @param name unique in the fleet
 * @param region that it is in; its control machines are asked first
 */
public record RelayIdentity(String name, String region) {
    /** Refuses nulls. */
    public RelayIdentity {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
    }
}
