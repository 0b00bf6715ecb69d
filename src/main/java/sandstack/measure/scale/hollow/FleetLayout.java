package sandstack.measure.scale.hollow;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import sandstack.fleet.Incarnation;

/**
 * Identities of the relays of a hollow fleet: relays are assigned round-robin to zones, and each half of the zones
 * forms a region. Ids, names and addresses have the same length for all relays, since {@link #wireSizes} is computed
 * from one of them.
 *
 * @param size number of relays in the stated configuration, including those that join later
 */
record FleetLayout(int size) {
    static final int ZONES = 8;
    static final int REGIONS = 2;
    private static final String NAMESPACE = "production";
    private static final String METADATA_TEMPLATE = "{\"v\":1,\"name\":\"\",\"zone\":\"\",\"machine\":\"\"}";
    private static final int HOSTS_PER_SUBNET = 100;

    Incarnation incarnation(int index) {
        String id = String.format(Locale.ROOT, "%016x", new SplittableRandom(index).nextLong());
        int zone = zone(index);
        String host = String.format(
                Locale.ROOT,
                "10.%d.1%02d.1%02d",
                200 + index / HOSTS_PER_SUBNET / HOSTS_PER_SUBNET,
                index / HOSTS_PER_SUBNET % HOSTS_PER_SUBNET,
                index % HOSTS_PER_SUBNET);
        return new Incarnation(
                id, name(index), "zone-" + zone, String.format(Locale.ROOT, "machine-%04d", index), host + ":7946");
    }

    static String name(int index) {
        return String.format(Locale.ROOT, "relay-%04d", index);
    }

    static int zone(int index) {
        return index % ZONES;
    }

    static int region(int index) {
        return zone(index) * REGIONS / ZONES;
    }

    /** Names of all relays, including those that join later. */
    Set<String> relays() {
        return new TreeSet<>(names());
    }

    private List<String> names() {
        return IntStream.range(0, size).mapToObj(FleetLayout::name).toList();
    }

    /** Message sizes for these identities. */
    WireSizes wireSizes() {
        Incarnation incarnation = incarnation(0);
        int metadata = METADATA_TEMPLATE.length()
                + incarnation.name().length()
                + incarnation.zone().length()
                + incarnation.machine().length();
        return new WireSizes(
                incarnation.id().length(),
                incarnation.name().length(),
                incarnation.address().length(),
                NAMESPACE.length(),
                metadata);
    }
}
