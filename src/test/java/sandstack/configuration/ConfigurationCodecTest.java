package sandstack.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.ByteRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import net.jqwik.api.constraints.UniqueElements;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.configuration.ConfigurationEdit.Remove;

/** Round trips of changes and snapshots, and rejection of damaged and oversized input. */
class ConfigurationCodecTest {
    private final ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);

    private static CommittedChange committedChange(List<ConfigurationEdit> edits) {
        ConfigurationVersion base = new ConfigurationVersion(3, 41);
        ConfigurationChange change = new ConfigurationChange(7, base, "ann é", "why\n", edits);
        return new CommittedChange(base.next(4), change, new ConfigurationDigest(-1, 5));
    }

    @Property(tries = 200)
    void changesSurviveARoundTrip(@ForAll @Size(max = 20) List<@StringLength(max = 30) String> texts) throws Exception {
        List<ConfigurationEdit> edits = texts.stream()
                .map(text -> text.replaceAll("[\\ud800-\\udfff]", "x"))
                .map(text -> text.length() % 2 == 0 ? new Put(text, text + text) : new Remove(text))
                .map(ConfigurationEdit.class::cast)
                .toList();
        CommittedChange committed = committedChange(edits);
        assertThat(codec.decodeCommittedChange(codec.encode(committed))).isEqualTo(committed);
        assertThat(codec.decodeChange(codec.encode(committed.change()))).isEqualTo(committed.change());
    }

    @Property(tries = 100)
    void snapshotsSurviveARoundTrip(@ForAll @Size(max = 30) @UniqueElements List<@IntRange(min = 0) Integer> keys)
            throws Exception {
        Map<String, String> entries =
                keys.stream().collect(java.util.stream.Collectors.toMap(k -> "k" + k, k -> "value of " + k));
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(new ConfigurationVersion(2, 9), 1, entries);
        assertThat(codec.decodeSnapshot(codec.encode(snapshot))).isEqualTo(snapshot);
    }

    /**
     * Input with one overwritten byte is rejected with a {@link MalformedConfigurationException} or decodes to a valid
     * value. Truncated input is always rejected.
     */
    @Property(tries = 500)
    void damagedBytesAreRejectedOrDecoded(
            @ForAll @IntRange(max = 400) int at, @ForAll @ByteRange byte value, @ForAll boolean cut) {
        byte[] change = codec.encode(committedChange(List.of(new Put("a", "1"), new Remove("b"))));
        byte[] snapshot =
                codec.encode(ConfigurationSnapshot.of(new ConfigurationVersion(2, 9), 1, Map.of("a", "1", "b", "2")));
        for (byte[] bytes : List.of(change, snapshot)) {
            byte[] damaged = cut ? Arrays.copyOf(bytes, at % bytes.length) : bytes.clone();
            if (!cut) {
                damaged[at % bytes.length] = value;
            }
            try {
                Object decoded = bytes == change ? codec.decodeCommittedChange(damaged) : codec.decodeSnapshot(damaged);
                assertThat(decoded).isNotNull();
                assertThat(cut).isFalse();
            } catch (MalformedConfigurationException e) {
                assertThat(e.toRejection().toString()).hasSizeLessThan(300);
            }
        }
    }

    @Property(tries = 300)
    void countedSizesAreThoseOfUtf8(@ForAll String text) {
        assertThat(ConfigurationSize.ofText(text)).isEqualTo(text.getBytes(StandardCharsets.UTF_8).length);
    }

    @Test
    void snapshotWithADamagedValueIsRejected() {
        byte[] bytes =
                codec.encode(ConfigurationSnapshot.of(new ConfigurationVersion(2, 9), 1, Map.of("a", "1", "b", "2")));
        bytes[bytes.length - 1] ^= 1;
        assertThatThrownBy(() -> codec.decodeSnapshot(bytes))
                .isInstanceOf(MalformedConfigurationException.class)
                .hasMessageContaining("digest");
    }

    @Test
    void oversizedInputIsRejectedBeforeItIsRead() {
        assertThatThrownBy(() -> codec.decodeSnapshot(new byte[60 << 20]))
                .isInstanceOf(MalformedConfigurationException.class);
        assertThatThrownBy(() -> codec.decodeChange(new byte[60 << 20]))
                .isInstanceOf(MalformedConfigurationException.class);
        byte[] forged = codec.encode(committedChange(List.of(new Put("a", "1"))).change());
        // overwrites the length of the author, which follows the format version and the base version
        ByteBuffer.wrap(forged).putInt(Integer.BYTES + 2 * Long.BYTES, Integer.MAX_VALUE);
        assertThatThrownBy(() -> codec.decodeChange(forged)).isInstanceOf(MalformedConfigurationException.class);
    }

    /** The size limits of the codec accept every change that the validator accepts. */
    @Test
    void largestValidChangeCanBeDecoded() throws Exception {
        ConfigurationLimits limits = new ConfigurationLimits(8, 16, 4, 4, 10, 200, 20, 300, 0);
        ConfigurationCodec smallCodec = new ConfigurationCodec(limits);
        List<ConfigurationEdit> edits = java.util.stream.IntStream.range(0, 10)
                .mapToObj(i -> (ConfigurationEdit) new Put("key-key" + i, "012345678901"))
                .toList();
        ConfigurationChange change = ConfigurationChange.of(ConfigurationVersion.NONE, "abcd", "efgh", edits);
        assertThat(new ChangeValidator(limits, ConfigurationCheck.NONE).validate(ConfigurationSnapshot.EMPTY, change))
                .isEmpty();
        CommittedChange committed =
                new CommittedChange(new ConfigurationVersion(1, 1), change, ConfigurationDigest.EMPTY);
        assertThat(smallCodec.decodeCommittedChange(smallCodec.encode(committed)))
                .isEqualTo(committed);
    }
}
