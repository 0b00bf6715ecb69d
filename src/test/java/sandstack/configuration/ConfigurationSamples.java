package sandstack.configuration;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.configuration.ConfigurationEdit.Remove;
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

/**
 * One value of each type that is stored or sent, and one for each enum constant that a type can contain. {@code main}
 * writes the fixture files: the encoded values, and the distribution traces of the build on the class path. The
 * committed fixtures were written by an earlier version of this class, which is in the commit that added them. It was
 * compiled against the build whose commit the first line of the files names.
 */
final class ConfigurationSamples {
    static final String FORMS = "forms.txt";
    static final String TRACES = "distribution-traces.txt";
    static final int TRACED_SEEDS = 12;

    private static final ConfigurationVersion BASE = new ConfigurationVersion(3, 41);
    private static final ConfigurationDigest DIGEST = ConfigurationDigest.of(Map.of("a", "1", "b", "é"));
    private static final long SESSION = 0x0102030405060708L;

    private ConfigurationSamples() {}

    static ConfigurationChange change() {
        return ConfigurationChange.of(
                BASE, "ann é", "why\n", List.of(new Put("a", "1"), new Remove("b"), new Put("c", "")));
    }

    static CommittedChange committedChange() {
        return new CommittedChange(BASE.next(4), change(), DIGEST);
    }

    static ConfigurationSnapshot snapshot() {
        return ConfigurationSnapshot.of(BASE, 1, Map.of("a", "1", "b", "é", "key-10", "value", "key-2", ""));
    }

    /** One message of each kind by its fixture name; kinds with a reason also have one message for each reason. */
    static Map<String, ConfigurationMessage> messages() {
        Map<String, ConfigurationMessage> messages = new LinkedHashMap<>();
        ConfigurationVersion version = BASE;
        messages.put("message.hello", new Hello(SESSION, "relay-é", 1, version));
        messages.put("message.report", new StatusReport(SESSION, version, DIGEST, Optional.empty()));
        messages.put("message.repair-request", new RepairRequest(SESSION, version));
        messages.put("message.snapshot-request", new SnapshotRequest(SESSION, 7));
        messages.put("message.chunk-request", new ChunkRequest(SESSION, version, 9));
        messages.put("message.goodbye", new Goodbye(SESSION));
        messages.put("message.welcome", new Welcome(SESSION, new ConfigurationHead(version, DIGEST, true)));
        messages.put("message.heartbeat", new Heartbeat(SESSION, new ConfigurationHead(version, DIGEST, false)));
        messages.put("message.deltas", new Deltas(SESSION, List.of(committedChange(), committedChange())));
        messages.put("message.snapshot-offer", new SnapshotOffer(SESSION, version, 3));
        messages.put("message.snapshot-chunk", new SnapshotChunk(SESSION, version, 1, 100, 50, new byte[] {1, 2, 3}));
        for (ChangeRejection.Reason reason : ChangeRejection.Reason.values()) {
            messages.put(
                    "message.report." + reason.name(), new StatusReport(SESSION, version, DIGEST, Optional.of(reason)));
        }
        for (SessionRejectionReason reason : SessionRejectionReason.values()) {
            messages.put("message.rejected." + reason.name(), new SessionRejected(SESSION, reason));
        }
        return messages;
    }

    /** The encoded bytes of every sample, by its fixture name. */
    static Map<String, byte[]> encoded() {
        ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
        ConfigurationMessageCodec messages = new ConfigurationMessageCodec(codec);
        Map<String, byte[]> encoded = new LinkedHashMap<>();
        encoded.put("change", codec.encode(change()));
        encoded.put("agreed-change", codec.encode(committedChange()));
        encoded.put("snapshot", codec.encode(snapshot()));
        encoded.put("snapshot.empty", codec.encode(ConfigurationSnapshot.EMPTY));
        messages().forEach((name, message) -> encoded.put(name, messages.encode(message)));
        return encoded;
    }

    /**
     * Writes the fixture files.
     *
     * @param arguments the target folder, and the comment for the first line: the command and the commit of the build
     */
    public static void main(String[] arguments) throws IOException {
        Path folder = Path.of(arguments[0]);
        FixtureFile.write(folder.resolve(FORMS), arguments[1], FixtureFile.toHex(encoded()));
        Map<String, String> traces = new LinkedHashMap<>();
        for (long seed = 1; seed <= TRACED_SEEDS; seed++) {
            traces.put("seed-" + seed, new DistributionTrace(seed).run());
        }
        FixtureFile.write(folder.resolve(TRACES), arguments[1], traces);
    }
}
