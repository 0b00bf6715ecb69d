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
import sandstack.core.ConnectionOutcome;
import sandstack.core.Execution;
import sandstack.core.NameTable;
import sandstack.core.Refusal;
import sandstack.core.Relay;
import sandstack.core.ServiceClient;
import sandstack.core.Tenants;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/** The console without a terminal: a command a line in, its answer out. */
class ConsoleTest {
    /** A client whose executions stand at once. */
    private static final class Standing extends ServiceClient {
        @Override
        protected Execution.Wire execute(Execution execution) {
            execution.up();
            return new Execution.Wire() {
                @Override
                public void abandon() {}

                @Override
                public void move() {}
            };
        }

        @Override
        protected void nack(Refusal nack) {}
    }

    private final long[] now = {1_000_000};
    private final AtomicBoolean drained = new AtomicBoolean();
    private final Relay relay = new Relay(
            BalancerSettingsBuilder.of(List.of(new RequestClass(
                            300_000, 2_000_000, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0)))
                    .connectTimeoutMicros(100_000)
                    .overloadMultiple(3)
                    .build(),
            1,
            () -> now[0],
            () -> {});

    private String say(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Console(new Commands(
                        relay,
                        Runnable::run,
                        () -> List.of("lines at 127.0.0.1:9"),
                        () -> drained.set(true),
                        Map.of("fleet json", () -> List.of("{}")),
                        Map.of("fleet take-out", name -> List.of(name + " is out"))))
                .plain(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), new PrintStream(out, true));
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void showsWhatTheRelayHolds() throws Exception {
        relay.listed(new NameTable.News(
                EndpointListKind.FULL,
                7,
                List.of(new NameTable.Line(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 80))));
        relay.tenantsListed(List.of(new Tenants.Entry("gobi", 0.25, 40)));
        ServiceClient client = new Standing();
        relay.take(client, new ClientRequest("k", 0, 0, null, 1_000_000, 0, false, null));
        ServiceClient gone = new Standing();
        relay.take(gone, new ClientRequest("l", 0, 0, null, 1_000_000, 0, false, null));
        relay.turn();
        gone.execution().ended(ConnectionOutcome.SERVED);
        String shown = say("listeners\nnames\nstanding\nendings\ntenants\n");
        assertThat(shown)
                .contains(
                        "lines at 127.0.0.1:9",
                        "version 7",
                        "READY",
                        "s1               1 standing",
                        "SERVED           1",
                        "gobi             share 0.25  connections 40");
    }

    @Test
    void drainsWhenTold() throws Exception {
        assertThat(say("help\nquit\ndrain\n")).contains("drain").doesNotContain("draining");
        assertThat(drained).isFalse();
        assertThat(say("nonsense\ndrain\n")).contains("no such command: nonsense", "draining");
        assertThat(drained).isTrue();
    }
}
