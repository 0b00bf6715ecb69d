package sandstack.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import sandstack.random.SeededRandom;

/**
 * One of the machines that replicate the configuration. Immutable.
 *
 * @param name the unique name by which the transport addresses the machine
 * @param region the region in which it runs; relays of the same region prefer it
 */
public record ControlMachine(String name, String region) {
    /**
     * Creates a control machine.
     *
     * @throws NullPointerException if the name or the region is null
     */
    public ControlMachine {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
    }

    /**
     * The order in which a relay tries machines: first those of its region, then the others, each group ordered by
     * rendezvous hashing (highest random weight). Relays are spread evenly over the machines, and the relays of a
     * failed machine are spread over all others.
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
