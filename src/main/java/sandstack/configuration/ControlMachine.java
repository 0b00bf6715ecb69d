package sandstack.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import sandstack.random.SeededRandom;

/**
 * One of the machines that replicate the configuration.
 *
 * @param name by which the transport reaches it
 */
public record ControlMachine(String name, String region) {
    /** Rejects null. */
    public ControlMachine {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
    }

    /**
     * The order in which a relay tries machines: those of its region first, and within each part by rendezvous hashing
     * (highest random weight), so that relays spread evenly and those of a failed machine spread over all others.
     */
    static List<ControlMachine> inPreferenceOrder(RelayIdentity relay, List<ControlMachine> machines) {
        return machines.stream()
                .sorted(Comparator.comparing((ControlMachine machine) -> !machine.region.equals(relay.region()))
                        .thenComparing(machine ->
                                SeededRandom.mix(SeededRandom.hash(relay.name()) ^ SeededRandom.hash(machine.name)))
                        .thenComparing(ControlMachine::name))
                .toList();
    }
}
