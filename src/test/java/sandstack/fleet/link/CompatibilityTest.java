package sandstack.fleet.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.scalecube.cluster.transport.api.Message;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import sandstack.fleet.FleetMessages.CallRequest;
import sandstack.fleet.FleetMessages.CallResponse;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.ProbeResponse;
import sandstack.fleet.FleetMessages.StateGossip;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.MemberValues;
import sandstack.fleet.Membership;
import sandstack.fleet.QuorumAssessment;
import sandstack.fleet.QuorumState;
import sandstack.fleet.QuorumTracker;

/** Messages and console output have the same bytes as those of an earlier build; see README.md beside the fixtures. */
class CompatibilityTest {
    private static final Incarnation SELF =
            new Incarnation("0123456789abcdef", "edge-1", "zone-1", "rack-7", "127.0.0.1:7001");
    private static final Incarnation OTHER =
            new Incarnation("fedcba9876543210", "edge-2", "zone-2", "rack-8", "127.0.0.1:7002");
    private static final MemberState STATE =
            new MemberState(7, Map.of("relays", "3:17f2e"), Set.of(OTHER.id()), Set.of("00112233aabbccdd"));
    private static final MemberState EMPTY_STATE = new MemberState(0, Map.of(), Set.of(), Set.of());
    private static final ProbeRequest SAMPLE_PROBE = new ProbeRequest(1, SELF.id(), SELF.name(), 12, true);

    private static String fixture(String file) throws IOException {
        try (InputStream in = CompatibilityTest.class.getResourceAsStream("/fleet/" + file)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).stripTrailing();
        }
    }

    static Stream<Arguments> messages() {
        return Stream.of(
                Arguments.of("question.json", SAMPLE_PROBE),
                Arguments.of("answer.json", new ProbeResponse(1, SELF.id(), SELF.name(), STATE, false)),
                Arguments.of(
                        "answer-empty-state.json", new ProbeResponse(1, SELF.id(), SELF.name(), EMPTY_STATE, true)),
                Arguments.of("answer-no-change.json", new ProbeResponse(1, SELF.id(), SELF.name(), null, true)),
                Arguments.of("spread.json", new StateGossip(1, SELF.id(), STATE, SELF)),
                Arguments.of("spread-no-incarnation.json", new StateGossip(1, SELF.id(), STATE, null)),
                Arguments.of("call.json", new CallRequest(1, SELF.id(), "configuration", "{\"a\":\"b\"}")),
                Arguments.of("result.json", new CallResponse(1, "{\"a\":\"b\"}", null)),
                Arguments.of("result-error.json", new CallResponse(1, null, "not now")),
                Arguments.of("metadata.json", new MemberMetadata(1, SELF.name(), SELF.zone(), SELF.machine())));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("messages")
    void messagesHaveTheBytesOfTheFixtures(String file, Object message) throws Exception {
        assertThat(MessageJson.read(fixture(file), message.getClass())).isEqualTo(message);
        assertThat(MessageJson.write(message)).isEqualTo(fixture(file));
    }

    @Test
    void framesHaveTheBytesOfTheFixture() throws Exception {
        byte[] frame = HexFormat.of().parseHex(fixture("frame.hex"));
        Message read = new FilteredMessageCodec().deserialize(new ByteArrayInputStream(frame));
        assertThat(read.qualifier()).isEqualTo("sandstack/question");
        assertThat(read.correlationId()).isEqualTo("c-1");
        assertThat(read.sender()).isEqualTo(SELF.address());
        assertThat(MessageJson.read(read.data(), ProbeRequest.class)).isEqualTo(SAMPLE_PROBE);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        new FilteredMessageCodec()
                .serialize(
                        Message.builder()
                                .qualifier("sandstack/question")
                                .correlationId("c-1")
                                .sender(SELF.address())
                                .data(MessageJson.write(SAMPLE_PROBE))
                                .build(),
                        written);
        assertThat(written.toByteArray()).isEqualTo(frame);
    }

    @Test
    void qualifiersMatchTheFixture() throws Exception {
        assertThat(String.join(
                        "\n",
                        Qualifiers.PROBE_REQUEST,
                        Qualifiers.STATE_GOSSIP,
                        Qualifiers.CALL_REQUEST,
                        Qualifiers.RESPONSE))
                .isEqualTo(fixture("qualifiers.txt"));
    }

    @Test
    void configurationDigestMatchesTheFixture() throws Exception {
        QuorumTracker tracker = new QuorumTracker(List.of("edge-3", "edge-1", "edge-2"), "edge-1", 0);
        assertThat(tracker.configurationDigest()).isEqualTo(fixture("stated-relays.txt"));
    }

    @Test
    void decommissioningRespondsAndPublishesAsInTheFixture() throws Exception {
        Membership membership =
                new Membership(SELF, Set.of("edge-1", "edge-2", "edge-3", "edge-4"), 0, new SplittableRandom(1));
        membership.memberAdded(OTHER, 0);
        for (long nowMicros = 0; nowMicros <= 6_000_000; nowMicros += 100_000) {
            for (Incarnation target : membership.tick(nowMicros)) {
                membership.probeAnswered(target, new ProbeResponse(1, OTHER.id(), OTHER.name(), null, true), nowMicros);
            }
            membership.view(nowMicros);
        }
        List<String> lines = new ArrayList<>();
        for (String name : List.of("edge-9", "edge-2", "edge-3", "edge-4")) {
            lines.add(membership.decommission(name, 6_000_000).orElse("null"));
        }
        MemberValues.VersionedValues own =
                membership.view(6_000_000).published().get(SELF.id()).values();
        new TreeMap<>(own.entries()).forEach((key, value) -> lines.add(key + "=" + value));
        assertThat(String.join("\n", lines)).isEqualTo(fixture("own-values.txt"));
    }

    private static Membership.View view(QuorumState state, MemberStatus status) {
        boolean reachable = status == MemberStatus.ALIVE;
        List<MemberTable.Row> rows = List.of(
                new MemberTable.Row(SELF, MemberStatus.ALIVE, 1_000_000, 1, 1, List.of()),
                new MemberTable.Row(
                        OTHER,
                        status,
                        3_500_000,
                        reachable ? 2 : 1,
                        2,
                        reachable ? List.of() : List.of("edge-1", "edge-3")));
        MemberValues.VersionedValues values = new MemberValues.VersionedValues(3, Map.of("relays", "3:17f2e"));
        return new Membership.View(
                SELF,
                rows,
                Map.of(SELF.id(), new MemberValues.ReceivedValues(values, 4_000_000)),
                reachable,
                Set.of(),
                new QuorumAssessment(
                        state,
                        2_000_000,
                        5_000_000,
                        List.of("edge-1"),
                        reachable ? List.of() : List.of("edge-2", "edge-3"),
                        "1 of 3 stated relays are reached"),
                9_000_000);
    }

    @Test
    void consoleOutputMatchesTheFixtures() throws Exception {
        List<String> json = new ArrayList<>();
        List<String> text = new ArrayList<>();
        for (QuorumState state : QuorumState.values()) {
            for (MemberStatus status : MemberStatus.values()) {
                json.add(FleetViewFormatter.json(view(state, status)));
                text.addAll(FleetViewFormatter.lines(view(state, status)));
            }
        }
        assertThat(String.join("\n", json)).isEqualTo(fixture("fleet-command.json"));
        assertThat(String.join("\n", text)).isEqualTo(fixture("fleet-command.txt"));
        List<String> outcomes = new ArrayList<>(FleetViewFormatter.decommissionOutcome("edge-3", Optional.empty()));
        outcomes.addAll(
                FleetViewFormatter.decommissionOutcome("edge-3", Optional.of("edge-3 is not lost: stop it first")));
        assertThat(String.join("\n", outcomes)).isEqualTo(fixture("take-out-command.txt"));
    }
}
