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

/** Measures the heap of a decoded configuration at several sizes. */
final class ConfigurationHeap {
    private static final List<Integer> KILOBYTES = List.of(32, 128, 512, 1_000);
    private static final int VALUE_CHARACTERS = 100;
    private static final int DECODED_COPIES = 20;

    private ConfigurationHeap() {}

    static Series series() {
        List<Point> points = new ArrayList<>();
        for (int kilobytes : KILOBYTES) {
            points.add(new Point(kilobytes * 1_000, heapBytesPerSnapshot(kilobytes * 1_000)));
        }
        return new Series(
                "configuration.relay.memory-of-state",
                Role.RELAY_CONTROL,
                Resource.MEMORY,
                "bytes",
                "bytes of configuration",
                "heap after collection of " + DECODED_COPIES
                        + " decoded states, divided; a relay holds one, two while it changes",
                points);
    }

    private static double heapBytesPerSnapshot(int bytes) {
        ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
        byte[] encoded = codec.encode(newSnapshot(bytes));
        List<ConfigurationSnapshot> snapshots = new ArrayList<>();
        long heapBytesBefore = UsedHeap.bytes();
        try {
            for (int i = 0; i < DECODED_COPIES; i++) {
                snapshots.add(codec.decodeSnapshot(encoded));
            }
        } catch (MalformedConfigurationException e) {
            throw new IllegalStateException("an encoded snapshot cannot be decoded", e);
        }
        double bytesPerSnapshot = (UsedHeap.bytes() - heapBytesBefore) / (double) DECODED_COPIES;
        // using the list here keeps the snapshots reachable until the heap has been measured
        return snapshots.size() == DECODED_COPIES ? bytesPerSnapshot : Double.NaN;
    }

    private static ConfigurationSnapshot newSnapshot(int bytes) {
        Map<String, String> entries = new HashMap<>();
        // a key has 24 characters
        for (int key = 0; key < bytes / (VALUE_CHARACTERS + 24); key++) {
            entries.put(String.format("relay.settings.key-%05d", key), "v".repeat(VALUE_CHARACTERS));
        }
        return ConfigurationSnapshot.of(new ConfigurationVersion(1, 1), 1, entries);
    }
}
