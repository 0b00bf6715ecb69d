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
import sandstack.standin.Discovery;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;
import sandstack.standin.ShopClient;
import sandstack.standin.ShopClient.Happened;
import sandstack.standin.StandInLoop;

/** SIGHUP while clients drain: those of a relay that has been told to stop, and those of a feed server that leaves. */
@Timeout(60)
class ReloadWhileDrainingTest {
    private static final int CLIENTS = 20;
    private static final long LINE_EVERY = 20_000;
    private static final long PATIENCE = 5_000_000;
    private static final int TERMINATED = 128 + 15;

    @TempDir
    Path folder;

    private final StandInLoop yard;
    private final List<Discovery> discoveries = new ArrayList<>();
    private final List<FeedServer> servers = new ArrayList<>();
    private final Map<Happened, Integer> happened = new EnumMap<>(Happened.class);
    private Program program;
    private Process relay;
    private int asked;

    ReloadWhileDrainingTest() throws IOException {
        yard = new StandInLoop();
        for (int i = 0; i < 2; i++) {
            discoveries.add(yard.make(() -> new Discovery(yard)));
            String uid = "s" + i;
            servers.add(yard.make(() -> new FeedServer(yard, uid, "home", Machine.IDLE)));
        }
        yard.run(() -> discoveries.forEach(d -> servers.forEach(s -> d.list(s, "box", 1, "ready"))));
    }

    @BeforeEach
    void start() throws Exception {
        program = new Program(folder);
        relay = program.start("", "relay", Files.writeString(folder.resolve("relay.json"), config(0, 1_000_000)));
    }

    @AfterEach
    void stop() {
        program.stop();
        yard.close();
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
        program.logged(
                "relay",
                "configuration reloaded discovery=127.0.0.1:"
                        + discoveries.get(discovery).port());
    }

    private void heard(ShopClient.Told told) {
        happened.merge(told.what(), 1, Integer::sum);
        if (told.what() == Happened.UP) {
            told.client().talk(LINE_EVERY, took -> {});
        }
    }

    private void come(int clients) throws Exception {
        int port = program.port("relay");
        yard.run(() -> {
            for (int i = 0; i < clients; i++, asked++) {
                new ShopClient(
                        yard,
                        port,
                        "id" + asked,
                        "key" + asked,
                        "c=order-status,d=1000,g=g" + asked,
                        PATIENCE,
                        this::heard);
            }
        });
    }

    /** Awaited, not slept on. */
    private void until(BooleanSupplier state) throws Exception {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); !yard.on(state::getAsBoolean); ) {
            assertThat(System.nanoTime())
                    .as(
                            "what became of %d clients: %s; %s",
                            asked, yard.on(() -> Map.copyOf(happened)), program.log("relay"))
                    .isLessThan(end);
            Thread.sleep(1);
        }
    }

    private int count(Happened what) {
        return happened.getOrDefault(what, 0);
    }

    private int standing(int server) {
        return servers.get(server).books().standing();
    }

    /** Settings, deadlines and discovery change, twice, while the clients of a relay that stops wait for their move. */
    @Test
    void aRelayThatStopsMovesItsClientsWhateverIsReadMeanwhile() throws Exception {
        come(CLIENTS);
        until(() -> count(Happened.UP) == CLIENTS);
        relay.destroy();
        assertThat(program.logged("relay", "graceful shutdown started")).endsWith(" count=" + CLIENTS);
        reload(1, 30_000_000);
        reload(0, 300_000);
        assertThat(relay.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.exitValue()).isEqualTo(TERMINATED);
        assertThat(program.log("relay")).contains("relay stopped").doesNotContain("SEVERE", "Exception");
        assertThat(yard.on(() -> Map.copyOf(happened)))
                .as("served, moved, and nothing else")
                .containsOnly(Map.entry(Happened.UP, CLIENTS), Map.entry(Happened.MOVED, CLIENTS));
    }

    /** The agent that told of the drain is left, and the new one has not told anything yet. */
    @Test
    void aFeedServerThatDrainsGetsNothingNewAcrossTheMoveToAnotherDiscovery() throws Exception {
        come(CLIENTS);
        until(() -> count(Happened.UP) == CLIENTS && standing(0) > 0);
        // some of them the relay may move before their feed server does
        int stood = yard.on(() -> standing(0));
        int atTheDrain = yard.on(() -> {
            discoveries.get(1).down(true);
            servers.get(0).drain();
            discoveries.get(0).list(servers.get(0), "box", 1, "draining");
            return (int) servers.get(0).books().asked();
        });
        program.logged("relay", "endpoint state changed server=s0 state=DRAINING");
        reload(1, 1_000_000);
        come(CLIENTS);
        until(() -> count(Happened.UP) == 2 * CLIENTS);
        assertThat(yard.on(() -> (int) servers.get(0).books().asked()))
                .as("sent to it after it drained")
                .isEqualTo(atTheDrain);
        yard.run(() -> {
            discoveries.get(1).list(servers.get(0), "box", 1, "gone");
            discoveries.get(1).down(false);
            servers.get(0).sendAway();
        });
        until(() -> count(Happened.MOVED) == stood);
        come(CLIENTS);
        until(() -> count(Happened.UP) == 3 * CLIENTS);
        assertThat(yard.on(() -> (int) servers.get(0).books().asked())).isEqualTo(atTheDrain);
        assertThat(yard.on(() -> Map.copyOf(happened)))
                .containsOnly(Map.entry(Happened.UP, 3 * CLIENTS), Map.entry(Happened.MOVED, stood));
        assertThat(program.log("relay")).doesNotContain("SEVERE", "Exception");
    }
}
