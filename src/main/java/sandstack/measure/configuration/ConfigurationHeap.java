package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.MalformedConfigurationException;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;

/** Heap that a relay needs for configurations of several sizes, each decoded of its own bytes. */
final class ConfigurationHeap {
    private static final List<Integer> KILOBYTES = List.of(32, 128, 512, 1_000);
    private static final int VALUE_CHARACTERS = 100;
    private static final int COPIES = 20;

    private ConfigurationHeap() {}

    static Series series() {
        List<Point> points = new ArrayList<>();
        for (int kilobytes : KILOBYTES) {
            points.add(new Point(kilobytes * 1_000, heap(kilobytes * 1_000)));
        }
        return new Series(
                "configuration.relay.memory-of-state",
                Role.RELAY_CONTROL,
                Resource.MEMORY,
                "bytes",
                "bytes of configuration",
                "heap after collection of " + COPIES
                        + " decoded states, divided; a relay holds one, two while it changes",
                points);
    }

    private static double heap(int bytes) {
        ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
        byte[] encoded = codec.encode(drawn(bytes));
        List<ConfigurationSnapshot> held = new ArrayList<>();
        long before = UsedHeap.bytes();
        try {
            for (int i = 0; i < COPIES; i++) {
                held.add(codec.decodeSnapshot(encoded));
            }
        } catch (MalformedConfigurationException e) {
            throw new IllegalStateException("a state of ours is not read", e);
        }
        double each = (UsedHeap.bytes() - before) / (double) COPIES;
        return held.size() == COPIES ? each : Double.NaN;
    }

    private static ConfigurationSnapshot drawn(int bytes) {
        Map<String, String> entries = new HashMap<>();
        for (int key = 0; key < bytes / (VALUE_CHARACTERS + 24); key++) {
            entries.put(String.format("relay.settings.key-%05d", key), "v".repeat(VALUE_CHARACTERS));
        }
        return ConfigurationSnapshot.of(new ConfigurationVersion(1, 1), 1, entries);
    }
}
