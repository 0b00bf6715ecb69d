package sandstack.console;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import sandstack.core.ClientRequest;
import sandstack.core.ClientSession;
import sandstack.core.ConnectionAttempt;
import sandstack.core.ConnectionOutcome;
import sandstack.core.EndpointRegistry;
import sandstack.core.Rejection;
import sandstack.core.Relay;
import sandstack.core.TenantRegistry;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/** The console without a terminal: one command per input line, its answer as output lines. */
class ConsoleTest {
    /** A client session whose attempts are established at once. */
    private static final class EstablishedSession extends ClientSession {
        @Override
        protected ConnectionAttempt.Upstream startAttempt(ConnectionAttempt attempt) {
            attempt.onEstablished();
            return new ConnectionAttempt.Upstream() {
                @Override
                public void abandon() {}

                @Override
                public void migrate() {}
            };
        }

        @Override
        protected void sendRejection(Rejection rejection) {}
    }

    private final long[] nowMicros = {1_000_000};
    private final AtomicBoolean drained = new AtomicBoolean();
    private final Relay relay = new Relay(
            BalancerSettingsBuilder.of(List.of(new RequestClass(
                            300_000, 2_000_000, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0)))
                    .connectTimeoutMicros(100_000)
                    .overloadMultiple(3)
                    .build(),
            1,
            () -> nowMicros[0],
            () -> {});

    private String run(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Console(new ConsoleCommands(
                        relay,
                        Runnable::run,
                        () -> List.of("lines at 127.0.0.1:9"),
                        () -> drained.set(true),
                        Map.of("fleet json", () -> List.of("{}")),
                        Map.of("fleet take-out", name -> List.of(name + " is out"))))
                .runPlain(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), new PrintStream(out, true));
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void showsTheStateOfTheRelay() throws Exception {
        relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                7,
                List.of(new EndpointRegistry.Endpoint(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 80))));
        relay.onTenants(List.of(new TenantRegistry.Entry("gobi", 0.25, 40)));
        ClientSession client = new EstablishedSession();
        relay.accept(client, new ClientRequest("k", 0, 0, null, 1_000_000, 0, false, null));
        ClientSession ended = new EstablishedSession();
        relay.accept(ended, new ClientRequest("l", 0, 0, null, 1_000_000, 0, false, null));
        relay.runTurn();
        ended.attempt().onEnded(ConnectionOutcome.SERVED);
        String output = run("listeners\nnames\nstanding\nendings\ntenants\n");
        assertThat(output)
                .contains(
                        "lines at 127.0.0.1:9",
                        "version 7",
                        "READY",
                        "s1               1 standing",
                        "SERVED           1",
                        "gobi             share 0.25  connections 40");
    }

    @Test
    void drainsOnCommand() throws Exception {
        // the console ends at "quit", so the first input does not start a drain
        assertThat(run("help\nquit\ndrain\n")).contains("drain").doesNotContain("draining");
        assertThat(drained).isFalse();
        assertThat(run("nonsense\ndrain\n")).contains("no such command: nonsense", "draining");
        assertThat(drained).isTrue();
    }
}
