package sandstack.measure.scale.hollow;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import sandstack.fleet.Incarnation;

/**
 * Who the relays of a hollow fleet are: zones in turn, the first half of the zones is one region. All names have one
 * length, whatever the size. Pure.
 *
 * @param size relays that are stated; later ones may join
 */
record FleetPlan(int size) {
    static final int ZONES = 8;
    static final int REGIONS = 2;
    private static final String NAMESPACE = "production";
    private static final String METADATA_FORM = "{\"v\":1,\"name\":\"\",\"zone\":\"\",\"machine\":\"\"}";
    private static final int HOSTS = 100;

    Incarnation life(int i) {
        String id = String.format(Locale.ROOT, "%016x", new SplittableRandom(i).nextLong());
        int zone = zone(i);
        String host =
                String.format(Locale.ROOT, "10.%d.1%02d.1%02d", 200 + i / HOSTS / HOSTS, i / HOSTS % HOSTS, i % HOSTS);
        return new Incarnation(
                id, name(i), "zone-" + zone, String.format(Locale.ROOT, "machine-%04d", i), host + ":7946");
    }

    static String name(int i) {
        return String.format(Locale.ROOT, "relay-%04d", i);
    }

    static int zone(int i) {
        return i % ZONES;
    }

    static int region(int i) {
        return zone(i) * REGIONS / ZONES;
    }

    /** Names of all relays, as operators state them. */
    Set<String> relays() {
        return new TreeSet<>(names());
    }

    private List<String> names() {
        return IntStream.range(0, size).mapToObj(FleetPlan::name).toList();
    }

    /** Sizes of messages between these. */
    WireSizes sizes() {
        Incarnation life = life(0);
        int metadata = METADATA_FORM.length()
                + life.name().length()
                + life.zone().length()
                + life.machine().length();
        return new WireSizes(
                life.id().length(), life.name().length(), life.address().length(), NAMESPACE.length(), metadata);
    }
}
