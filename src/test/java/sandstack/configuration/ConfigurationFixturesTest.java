package sandstack.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compatibility with earlier builds: their bytes are decoded, and the same values are encoded to the same bytes. */
class ConfigurationFixturesTest {
    private final ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
    private final ConfigurationMessageCodec messages = new ConfigurationMessageCodec(codec);
    private final Map<String, byte[]> forms = FixtureFile.readBytes(ConfigurationSamples.FORMS);

    @Test
    void encodedBytesMatchTheFixtures() {
        assertThat(FixtureFile.toHex(ConfigurationSamples.encoded())).isEqualTo(FixtureFile.toHex(forms));
    }

    @Test
    void changesAndSnapshotsOfTheFixturesAreDecoded() throws Exception {
        assertThat(codec.decodeChange(forms.get("change"))).isEqualTo(ConfigurationSamples.change());
        assertThat(codec.decodeCommittedChange(forms.get("agreed-change")))
                .isEqualTo(ConfigurationSamples.committedChange());
        assertThat(codec.decodeSnapshot(forms.get("snapshot"))).isEqualTo(ConfigurationSamples.snapshot());
        assertThat(codec.decodeSnapshot(forms.get("snapshot.empty"))).isEqualTo(ConfigurationSnapshot.EMPTY);
    }

    @Test
    void messagesOfTheFixturesAreDecoded() throws Exception {
        for (Map.Entry<String, ConfigurationMessage> sample :
                ConfigurationSamples.messages().entrySet()) {
            assertThat(messages.decode(forms.get(sample.getKey())))
                    .as(sample.getKey())
                    .isEqualTo(sample.getValue());
        }
    }

    @Test
    void textFormsMatchTheFixtures() {
        assertThat(ConfigurationSamples.snapshot())
                .hasToString("configuration 3/41 with 4 entries, digest ede21e7ec348b9d2358c54648ac6edc7");
        assertThat(ConfigurationDigest.of(Map.of("a", "1", "b", "é"))).hasToString("a0ddd84b36117ea4302d93da5bcfd500");
    }

    @Test
    void seededFaultsReproduceTheTraces() {
        Map<String, String> expected = FixtureFile.read(ConfigurationSamples.TRACES);
        assertThat(expected).hasSize(ConfigurationSamples.TRACED_SEEDS);
        for (long seed = 1; seed <= ConfigurationSamples.TRACED_SEEDS; seed++) {
            assertThat(new DistributionTrace(seed).run()).isEqualTo(expected.get("seed-" + seed));
        }
    }
}
