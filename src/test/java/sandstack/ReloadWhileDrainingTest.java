package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** SIGHUP while clients drain: those of a relay that shuts down, and those of a feed server that drains. */
@Timeout(60)
class ReloadWhileDrainingTest {
    private static final int CLIENTS = 20;
    private static final long LINE_EVERY = 20_000;
    private static final long PATIENCE = 5_000_000;
    private static final int TERMINATED = 128 + 15;

    @TempDir
    Path folder;

    private final TestServerLoop standInLoop;
    private final List<FakeDiscovery> discoveries = new ArrayList<>();
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final Map<EventType, Integer> happened = new EnumMap<>(EventType.class);
    private Program program;
    private Process relay;
    private int asked;

    ReloadWhileDrainingTest() throws IOException {
        standInLoop = new TestServerLoop();
        for (int i = 0; i < 2; i++) {
            discoveries.add(standInLoop.create(() -> new FakeDiscovery(standInLoop)));
            String uid = "s" + i;
            servers.add(
                    standInLoop.create(() -> new FakeFeedServer(standInLoop, uid, "home", ServerProfile.UNLIMITED)));
        }
        standInLoop.run(() -> discoveries.forEach(d -> servers.forEach(s -> d.publish(s, "box", 1, "ready"))));
    }

    @BeforeEach
    void start() throws Exception {
        program = new Program(folder);
        relay = program.start("", "relay", Files.writeString(folder.resolve("relay.json"), config(0, 1_000_000)));
    }

    @AfterEach
    void stop() {
        program.stop();
        standInLoop.close();
    }

    private String config(int discovery, int deadline) throws IOException {
        return Files.readString(Path.of("examples/config.json"))
                .replace(
                        "127.0.0.1:8500",
                        "127.0.0.1:" + discoveries.get(discovery).port())
                .replaceAll("\"deadline_us\": [0-9]+", "\"deadline_us\": " + deadline)
                .replaceFirst("\"known\": *\\{[^]]*]\\s*},", "");
    }

    private void reload(int discovery, int deadline) throws Exception {
        Files.writeString(folder.resolve("relay.json"), config(discovery, deadline));
        assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid()))
                        .start()
                        .waitFor())
                .isZero();
        program.awaitLogged(
                "relay",
                "configuration reloaded discovery=127.0.0.1:"
                        + discoveries.get(discovery).port());
    }

    private void heard(LineClient.ClientEvent told) {
        happened.merge(told.type(), 1, Integer::sum);
        if (told.type() == EventType.ESTABLISHED) {
            told.client().sendLines(LINE_EVERY, took -> {});
        }
    }

    private void come(int clients) throws Exception {
        int port = program.port("relay");
        standInLoop.run(() -> {
            for (int i = 0; i < clients; i++, asked++) {
                new LineClient(
                        standInLoop,
                        port,
                        "id" + asked,
                        "key" + asked,
                        "c=order-status,d=1000,g=g" + asked,
                        PATIENCE,
                        this::heard);
            }
        });
    }

    /** Polled, not slept on. */
    private void until(BooleanSupplier state) throws Exception {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); !standInLoop.call(state::getAsBoolean); ) {
            assertThat(System.nanoTime())
                    .as(
                            "what became of %d clients: %s; %s",
                            asked, standInLoop.call(() -> Map.copyOf(happened)), program.log("relay"))
                    .isLessThan(end);
            Thread.sleep(1);
        }
    }

    private int count(EventType what) {
        return happened.getOrDefault(what, 0);
    }

    private int standing(int server) {
        return servers.get(server).counters().established();
    }

    /**
     * Settings, deadlines and discovery change, twice, while the clients of a relay that shuts down wait for their
     * migration.
     */
    @Test
    void aDrainingRelayMigratesItsClientsWhateverIsReloadedMeanwhile() throws Exception {
        come(CLIENTS);
        until(() -> count(EventType.ESTABLISHED) == CLIENTS);
        relay.destroy();
        assertThat(program.awaitLogged("relay", "graceful shutdown started")).endsWith(" count=" + CLIENTS);
        reload(1, 30_000_000);
        reload(0, 300_000);
        assertThat(relay.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.exitValue()).isEqualTo(TERMINATED);
        assertThat(program.log("relay")).contains("relay stopped").doesNotContain("SEVERE", "Exception");
        assertThat(standInLoop.call(() -> Map.copyOf(happened)))
                .as("served, moved, and nothing else")
                .containsOnly(Map.entry(EventType.ESTABLISHED, CLIENTS), Map.entry(EventType.MOVED, CLIENTS));
    }

    /** The agent that reported the drain is replaced, and the new one has not sent a list yet. */
    @Test
    void aDrainingFeedServerGetsNothingNewAcrossAChangeOfDiscovery() throws Exception {
        come(CLIENTS);
        until(() -> count(EventType.ESTABLISHED) == CLIENTS && standing(0) > 0);
        // the relay may migrate some of them before their feed server does
        int stood = standInLoop.call(() -> standing(0));
        int atTheDrain = standInLoop.call(() -> {
            discoveries.get(1).setUnavailable(true);
            servers.get(0).drain();
            discoveries.get(0).publish(servers.get(0), "box", 1, "draining");
            return (int) servers.get(0).counters().requests();
        });
        program.awaitLogged("relay", "endpoint state changed server=s0 state=DRAINING");
        reload(1, 1_000_000);
        come(CLIENTS);
        until(() -> count(EventType.ESTABLISHED) == 2 * CLIENTS);
        assertThat(standInLoop.call(() -> (int) servers.get(0).counters().requests()))
                .as("sent to it after it drained")
                .isEqualTo(atTheDrain);
        standInLoop.run(() -> {
            discoveries.get(1).publish(servers.get(0), "box", 1, "gone");
            discoveries.get(1).setUnavailable(false);
            servers.get(0).moveClients();
        });
        until(() -> count(EventType.MOVED) == stood);
        come(CLIENTS);
        until(() -> count(EventType.ESTABLISHED) == 3 * CLIENTS);
        assertThat(standInLoop.call(() -> (int) servers.get(0).counters().requests()))
                .isEqualTo(atTheDrain);
        assertThat(standInLoop.call(() -> Map.copyOf(happened)))
                .containsOnly(Map.entry(EventType.ESTABLISHED, 3 * CLIENTS), Map.entry(EventType.MOVED, stood));
        assertThat(program.log("relay")).doesNotContain("SEVERE", "Exception");
    }
}
