package sandstack.handover;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandstack.config.EndpointListJson;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.MachineKinds;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * The file formats between sibling processes, which may run different builds: files of an earlier build are readable,
 * and the same state is written byte for byte as that build wrote it.
 */
class HandoverFormatTest {
    private static final Path FIXTURES = Path.of("src/test/resources/handover");
    private static final String RELAY = "edge 1/ä";

    private final EndpointListJson listFormat =
            new EndpointListJson(List.of("zone-1", "zone-2"), new MachineKinds(List.of("small")));

    private static String fixture(String name) throws IOException {
        return Files.readString(FIXTURES.resolve(name));
    }

    private static ProcessMarker marker(String content) {
        return new ProcessMarker(RELAY, "1f2e3d4c", 1_700_000_000_123_456L, 73, content);
    }

    @Test
    void markersOfAnEarlierBuildAreReadAndWrittenIdentically() throws IOException {
        assertThat(marker("").encode()).isEqualTo(fixture("marker.kin"));
        assertThat(ProcessMarker.decode(fixture("marker.kin"), RELAY)).hasValue(marker(""));
        ProcessMarker withList = marker(fixture("endpoints.json"));
        assertThat(withList.encode()).isEqualTo(fixture("marker.list"));
        assertThat(ProcessMarker.decode(fixture("marker.list"), RELAY)).hasValue(withList);
    }

    @Test
    void theEndpointListOfAnEarlierBuildIsReadAndWrittenIdentically()
            throws IOException, InvalidConfigurationException {
        EndpointRegistry.Update update = listFormat.readUpdate(new ObjectMapper().readTree(fixture("endpoints.json")));
        assertThat(update.kind()).isEqualTo(EndpointListKind.FULL);
        assertThat(update.version()).isEqualTo(41);
        assertThat(update.endpoints()).hasSize(2);
        EndpointRegistry.Endpoint second = update.endpoints().get(1);
        assertThat(second.entry().state()).isEqualTo(EndpointState.DRAINING);
        assertThat(second.host() + ":" + second.port()).isEqualTo("127.0.0.1:9002");
        assertThat(listFormat.readCached(fixture("endpoints.json")).endpoints()).isEqualTo(update.endpoints());

        BalancerSettings settings = BalancerSettingsBuilder.of(List.of(
                        new RequestClass(300_000, 2_000_000, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0)))
                .build();
        Relay relay = new Relay(settings, 1, () -> 0, () -> {});
        relay.onEndpointList(update);
        // a zone that the settings do not name is written as an empty string, as in the earlier build
        assertThat(listFormat.toJson(relay.endpoints())).isEqualTo(fixture("endpoints.json"));
    }

    @Test
    void filesOfAnEarlierBuildAreFoundByTheirNames(@TempDir Path folder) throws IOException {
        Files.copy(FIXTURES.resolve("marker.kin"), folder.resolve("sandstack-1f2e3d4c.kin"));
        Files.copy(FIXTURES.resolve("marker.list"), folder.resolve("sandstack-1f2e3d4c.list"));
        SiblingProcesses siblings = new SiblingProcesses(folder, RELAY, () -> 1_700_000_001_000_000L);
        assertThat(siblings.find()).isEqualTo(new SiblingProcesses.Siblings(1, fixture("endpoints.json")));
    }

    @Test
    void filesHaveTheNamesOfAnEarlierBuild(@TempDir Path folder) throws Exception {
        CountDownLatch listWritten = new CountDownLatch(2);
        try (SiblingProcesses siblings = new SiblingProcesses(folder, RELAY, () -> 1_700_000_001_000_000L)) {
            siblings.start(new SiblingProcesses.LocalProcess() {
                @Override
                public SiblingProcesses.LocalState state(long writtenListVersion) {
                    return new SiblingProcesses.LocalState(5, 7, writtenListVersion == 7 ? null : "{}");
                }

                @Override
                public void onSiblings(List<Integer> descriptorsInUse) {
                    listWritten.countDown();
                }
            });
            assertThat(listWritten.await(15, TimeUnit.SECONDS)).isTrue();
            try (Stream<Path> files = Files.list(folder)) {
                List<String> names =
                        files.map(file -> file.getFileName().toString()).toList();
                assertThat(names)
                        .hasSizeGreaterThanOrEqualTo(2)
                        .allMatch(name -> name.matches("sandstack-[0-9a-f]+\\.(kin|list|aside)"))
                        .anyMatch(name -> name.endsWith(".kin"))
                        .anyMatch(name -> name.endsWith(".list"));
            }
        }
    }
}
