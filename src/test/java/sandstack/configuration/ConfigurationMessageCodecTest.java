package sandstack.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.SessionRejected;
import sandstack.configuration.ConfigurationMessage.SessionRejectionReason;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.StatusReport;
import sandstack.configuration.ConfigurationMessage.Welcome;

/** Round trips of all messages, and rejection of damaged and oversized frames. */
class ConfigurationMessageCodecTest {
    private final ConfigurationMessageCodec codec =
            new ConfigurationMessageCodec(new ConfigurationCodec(ConfigurationLimits.DEFAULT));

    private static List<ConfigurationMessage> oneOfEachKind(long session) {
        CommittedHistory history = new CommittedHistory().commitMany(3);
        ConfigurationVersion version = history.current().version();
        ConfigurationDigest digest = history.current().digest();
        return List.of(
                new Hello(session, "relay-1", 1, version),
                new StatusReport(session, version, digest, Optional.empty()),
                new StatusReport(session, version, digest, Optional.of(ChangeRejection.Reason.TOO_MANY)),
                new RepairRequest(session, version),
                new SnapshotRequest(session, 7),
                new ChunkRequest(session, version, 9),
                new Goodbye(session),
                new Welcome(session, history.headWithQuorum()),
                new SessionRejected(session, SessionRejectionReason.FLOOD),
                new Heartbeat(session, history.headWithoutQuorum()),
                new Deltas(session, history.changes),
                new SnapshotOffer(session, version, 3),
                new SnapshotChunk(session, version, 1, 100, 50, new byte[] {1, 2, 3}));
    }

    @Test
    void roundTripPreservesMessages() throws Exception {
        assertThat(oneOfEachKind(1).stream().map(Object::getClass).distinct())
                .hasSize(ConfigurationMessage.FollowerMessage.class.getPermittedSubclasses().length
                        + ConfigurationMessage.PublisherMessage.class.getPermittedSubclasses().length);
        for (ConfigurationMessage message : oneOfEachKind(-5)) {
            assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
        }
    }

    @Property(tries = 300)
    void damagedFramesAreRejectedOrDecoded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (ConfigurationMessage message : oneOfEachKind(random.nextLong())) {
            byte[] frame = codec.encode(message);
            byte[] damaged = Arrays.copyOf(frame, random.nextInt(frame.length + 1));
            for (int i = 0; i < 3 && damaged.length > 0; i++) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            }
            try {
                assertThat(codec.decode(damaged)).isNotNull();
            } catch (MalformedConfigurationException e) {
                assertThat(e.toRejection().toString()).hasSizeLessThan(300);
            }
        }
    }

    @Test
    void oversizedFramesAreRejectedBeforeTheyAreRead() {
        assertThatThrownBy(() -> codec.decode(new byte[codec.maxFrameBytes() + 1]))
                .isInstanceOf(MalformedConfigurationException.class);
        // overwrites the number of changes with one whose changes cannot fit in the frame
        byte[] forged = codec.encode(new Deltas(1, List.of()));
        Arrays.fill(forged, forged.length - Integer.BYTES, forged.length, (byte) 0x7f);
        assertThatThrownBy(() -> codec.decode(forged)).isInstanceOf(MalformedConfigurationException.class);
    }

    @Test
    void heartbeatsAndReportsHave42Bytes() {
        CommittedHistory history = new CommittedHistory().commitMany(1);
        assertThat(codec.encode(new Heartbeat(1, history.headWithQuorum()))).hasSize(42);
        assertThat(codec.encode(oneOfEachKind(1).get(1))).hasSize(42);
    }
}
