package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Sends random event streams to the load balancer and compares running digests of its actions with stored ones, to
 * detect whether a change of names or structure also changes decisions.
 *
 * <p>With the system property {@value #REGENERATE} set to the short id of a commit, the comparison instead writes
 * {@code target/decision-digests.txt} in the format of the resource {@value #RESOURCE}, and fails. Copying the file is
 * a separate step, for a commit that is meant to change decisions.
 */
class DecisionDigestTest {
    private static final String REGENERATE = "sandstack.digest.regenerate";
    private static final String RESOURCE = "/decisions/decision-digests.txt";
    private static final int EVENT_COUNT = 8_000;
    private static final int CHECK_INTERVAL_EVENTS = 250;

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void sameEventsGiveTheSameActions(int seed) throws IOException {
        String commit = System.getProperty(REGENERATE);
        if (commit != null) {
            regenerate(commit);
            fail("wrote target/decision-digests.txt; nothing was compared");
        }
        List<String> expected = storedDigests(seed);
        List<String> actual = play(new DigestStream(DigestScenario.of(seed)));
        assertThat(expected).as("stored digests of seed %d", seed).hasSameSizeAs(actual);
        for (int i = 0; i < actual.size(); i++) {
            int last = Math.min(EVENT_COUNT, (i + 1) * CHECK_INTERVAL_EVENTS);
            assertThat(actual.get(i))
                    .as(
                            "seed %d: the first difference is between the events %d and %d",
                            seed, Math.max(0, last - CHECK_INTERVAL_EVENTS), last - 1)
                    .isEqualTo(expected.get(i));
        }
    }

    /**
     * The streams reach every kind of action, every rejection reason, and the rarer decisions; otherwise equal digests
     * would prove little.
     */
    @Test
    void streamsReachEveryKindOfDecision() {
        Map<String, Integer> counts = new TreeMap<>();
        for (int seed = 0; seed < DigestScenario.COUNT; seed++) {
            DigestStream stream = new DigestStream(DigestScenario.of(seed));
            play(stream);
            stream.digest.counts().forEach((what, count) -> counts.merge(what, count, Integer::sum));
        }
        for (char code : "ARFMTWV".toCharArray()) {
            assertThat(counts).containsKey("code " + code);
        }
        for (int reason = 1; reason <= 8; reason++) {
            assertThat(counts).containsKey("reason " + reason);
        }
        assertThat(counts)
                .containsKeys(
                        "home", "other zone", "trial after failure", "trial after rejection", "closed", "not closed");
        assertThat(counts.get("code A")).as("attempts of all streams").isGreaterThan(10_000);
        assertThat(counts.get("code M")).as("migrations of all streams").isGreaterThan(1_000);
        assertThat(counts.get("reason 1")).as("requests shed in all streams").isGreaterThan(1_000);
        assertThat(counts.get("other zone"))
                .as("attempts in other zones in all streams")
                .isGreaterThan(1_000);
        assertThat(counts.get("trial after failure"))
                .as("trials after failures in all streams")
                .isGreaterThan(100);
    }

    /** The short digests after each {@value #CHECK_INTERVAL_EVENTS} events, then the complete digest at the end. */
    private static List<String> play(DigestStream stream) {
        List<String> digests = new ArrayList<>();
        for (int event = 1; event <= EVENT_COUNT; event++) {
            stream.step();
            if (event % CHECK_INTERVAL_EVENTS == 0) {
                digests.add(stream.digest.shortDigest());
            }
        }
        digests.add(stream.digest.fullDigest());
        return digests;
    }

    private static List<String> storedDigests(int seed) throws IOException {
        try (InputStream in = DecisionDigestTest.class.getResourceAsStream(RESOURCE)) {
            assertThat(in).as(RESOURCE).isNotNull();
            List<String> digests = new ArrayList<>();
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n", 0)) {
                if (line.startsWith(seed + " ")) {
                    digests.add(line.substring(line.lastIndexOf(' ') + 1));
                }
            }
            return digests;
        }
    }

    private static void regenerate(String commit) throws IOException {
        StringBuilder text = new StringBuilder("# seed, events so far, SHA-256 of the actions so far; made by\n"
                + "# DecisionDigestTest with -D" + REGENERATE + "=" + commit + " on the decision module of " + commit
                + "\n");
        for (int seed = 0; seed < DigestScenario.COUNT; seed++) {
            List<String> digests = play(new DigestStream(DigestScenario.of(seed)));
            for (int i = 0; i < digests.size(); i++) {
                text.append(seed).append(' ').append(Math.min(EVENT_COUNT, (i + 1) * CHECK_INTERVAL_EVENTS));
                text.append(' ').append(digests.get(i)).append('\n');
            }
        }
        Files.writeString(Path.of("target", "decision-digests.txt"), text);
    }
}
