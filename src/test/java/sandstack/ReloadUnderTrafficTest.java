package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** SIGHUP after SIGHUP under steady traffic: settings and discovery change, and no client notices. */
@Timeout(60)
class ReloadUnderTrafficTest {
    private static final Pattern LISTENS =
            Pattern.compile("listener opened relay=\\S+ protocol=lines address=127.0.0.1:([0-9]+)");
    private static final int RELOADS = 10;
    private static final int STANDING = 40;
    private static final long LINE_EVERY = 20_000;
    private static final long CLIENT_EVERY = 5_000;
    private static final long STAYS = 300_000;
    private static final long PATIENCE = 5_000_000;

    @TempDir
    Path folder;

    private final TestServerLoop standInLoop;
    private final List<FakeDiscovery> discoveries = new ArrayList<>();
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final Map<EventType, Integer> happened = new EnumMap<>(EventType.class);
    private final List<LineClient> stay = new ArrayList<>();
    private Process relay;
    private BufferedReader log;
    private int port;
    private int asked;
    private long lines;
    private boolean traffic = true;

    ReloadUnderTrafficTest() throws IOException {
        standInLoop = new TestServerLoop();
        for (int i = 0; i < 2; i++) {
            discoveries.add(standInLoop.create(() -> new FakeDiscovery(standInLoop)));
            String uid = "s" + i;
            servers.add(
                    standInLoop.create(() -> new FakeFeedServer(standInLoop, uid, "home", ServerProfile.UNLIMITED)));
        }
        // both discoveries know both servers: a move between them changes no placement
        standInLoop.run(() -> discoveries.forEach(d -> servers.forEach(s -> d.publish(s, "box", 1, "ready"))));
    }

    @AfterEach
    void end() throws Exception {
        standInLoop.close();
        if (relay != null) {
            relay.destroyForcibly().waitFor();
        }
    }

    /** The configuration of this reload: every second has another class, fewer attempts and the other discovery. */
    private String config(int reload) throws IOException {
        String text = Files.readString(Path.of("examples/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replaceFirst(
                        "(\"discovery\": *)\"[^\"]*\"",
                        "$1\"127.0.0.1:" + discoveries.get(reload % 2).port() + "\"")
                .replaceFirst("\"known\": *\\{[^]]*]\\s*},", "");
        return reload % 2 == 0
                ? text
                : text.replace("\"catalogue-feed\"", "\"price-feed\"")
                        .replace("\"max_attempts\": 6", "\"max_attempts\": 2");
    }

    private void awaitLogged(String text) throws Exception {
        CompletableFuture.runAsync(() -> {
                    try {
                        String line;
                        do {
                            line = log.readLine();
                            assertThat(line).as("a log line with: " + text).isNotNull();
                            Matcher m = LISTENS.matcher(line);
                            port = m.find() ? Integer.parseInt(m.group(1)) : port;
                        } while (!line.contains(text));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                })
                .get(20, TimeUnit.SECONDS);
    }

    private void heard(LineClient.ClientEvent told) {
        happened.merge(told.type(), 1, Integer::sum);
        if (told.type() == EventType.ESTABLISHED) {
            told.client().sendLines(LINE_EVERY, took -> lines++);
            if (!stay.contains(told.client())) {
                standInLoop.schedule(STAYS, told.client()::close);
            }
        }
    }

    /** A client that connects, is served and leaves; the next follows at its pace. */
    private void passing() {
        if (traffic) {
            client();
            standInLoop.schedule(CLIENT_EVERY, this::passing);
        }
    }

    private LineClient client() {
        int number = asked++;
        return new LineClient(
                standInLoop,
                port,
                "id" + number,
                "key" + number,
                "c=order-status,d=3000,g=g" + number % 5,
                PATIENCE,
                this::heard);
    }

    /** Clients that have ended, in whatever way. */
    private int ended() {
        return happened.entrySet().stream()
                .filter(e -> e.getKey() != EventType.ESTABLISHED)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private int count(EventType what) {
        return standInLoop.call(() -> happened.getOrDefault(what, 0));
    }

    @Test
    void noConnectionAndNoLineIsLostWhileSettingsAndDiscoveryChange() throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config(0));
        ProcessBuilder program = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-Dsandstack.deploy=" + folder,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sandstack.Main",
                        "serve")
                .redirectErrorStream(true);
        program.environment().put("PROXY_CONFIG", file.toString());
        relay = program.start();
        log = relay.inputReader();
        awaitLogged(" protocol=lines address=");
        standInLoop.run(() -> {
            for (int i = 0; i < STANDING; i++) {
                stay.add(client());
            }
            passing();
        });
        for (int reload = 1; reload <= RELOADS; reload++) {
            // polled, not slept on: so many more were served by these settings before the next ones apply
            int up = count(EventType.ESTABLISHED);
            while (count(EventType.ESTABLISHED) < up + 20) {
                assertThat(relay.isAlive()).isTrue();
                Thread.onSpinWait();
            }
            Files.writeString(file, config(reload));
            assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid()))
                            .start()
                            .waitFor())
                    .isZero();
            awaitLogged("configuration reloaded");
        }
        standInLoop.run(() -> traffic = false);
        while (standInLoop.call(this::ended) < asked - STANDING) {
            assertThat(relay.isAlive()).isTrue();
            Thread.onSpinWait();
        }
        assertThat(standInLoop.call(() -> Map.copyOf(happened)))
                .as("served and left, and nothing else")
                .containsOnly(Map.entry(EventType.ESTABLISHED, asked), Map.entry(EventType.CLOSED, asked - STANDING));
        assertThat(standInLoop.call(
                        () -> stay.stream().filter(LineClient::isEstablished).count()))
                .isEqualTo(STANDING);
        long heard = standInLoop.call(() -> lines);
        assertThat(heard).as("lines that came back").isGreaterThan(asked);
        assertThat(standInLoop.call(() -> stay.stream()
                        .mapToLong(LineClient::lineInFlightMicros)
                        .max()
                        .orElse(0)))
                .as("microseconds that a line has been out")
                .isLessThan(1_000_000);
        long attempts = servers.stream()
                .mapToLong(server -> standInLoop.call(server::counters).setups())
                .sum();
        assertThat(attempts).as("one attempt each").isEqualTo(asked);
    }
}
