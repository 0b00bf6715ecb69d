package sandstack.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/** Executions on a clock that the test moves. */
class ExecutionTest {
    private long now = 1_000_000;
    private final List<Refusal> nacks = new ArrayList<>();
    private final List<Execution> begun = new ArrayList<>();
    private int abandoned;
    private int moved;
    private final Relay relay = new Relay(settings(2_000_000), 1, () -> now, () -> {});

    private static BalancerSettings settings(long deadline) {
        return BalancerSettingsBuilder.of(List.of(
                        new RequestClass(300_000, deadline, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0)))
                .connectTimeoutMicros(100_000)
                .maxRetryAfterMicros(1_000_000)
                .overloadMultiple(3)
                .build();
    }

    /** A client whose wires only count. */
    private final class Counting extends ServiceClient {
        /** Whether it is seen to have left once somebody looks. */
        private boolean gone;

        @Override
        protected void look() {
            if (gone) {
                relay.clientLeft(this);
            }
        }

        @Override
        protected Execution.Wire execute(Execution execution) {
            begun.add(execution);
            return new Execution.Wire() {
                @Override
                public void abandon() {
                    abandoned++;
                }

                @Override
                public void move() {
                    moved++;
                }
            };
        }

        @Override
        protected void nack(Refusal nack) {
            nacks.add(nack);
        }
    }

    private Counting take(String key) {
        Counting client = new Counting();
        relay.take(client, new ClientRequest(key, 0, 0, null, 1_000_000, 0, false, null));
        return client;
    }

    private Execution begin() {
        relay.listed(new NameTable.News(
                EndpointListKind.FULL,
                1,
                List.of(new NameTable.Line(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 80))));
        relay.take(new Counting(), new ClientRequest("k", 0, 0, null, 1_000_000, 0, false, null));
        relay.turn();
        return begun.get(0);
    }

    /** Held up past the time-out, the relay gave up connections that had long come up. */
    @Test
    void aHeldUpRelayLooksOnceMoreBeforeAConnectCountsAsFailed() {
        Execution execution = begin();
        now += 150_000;
        relay.turn();
        execution.connected();
        now += 5_000;
        relay.turn();
        assertThat(execution.over()).isFalse();
        assertThat(abandoned).isZero();
    }

    @Test
    void aConnectThatNeverComesUpIsGivenUp() {
        Execution execution = begin();
        now += 101_000;
        relay.turn();
        now += 1_000;
        relay.turn();
        assertThat(execution.over()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.endings()).containsEntry(ConnectionOutcome.NOT_CONNECTED, 1L);
    }

    /** Its feed server was told to drain while the way there came up: the first line would have gone to it all the same. */
    @Test
    void aWayThatComesUpToADrainingServerIsGivenUpUnsent() {
        Execution execution = begin();
        relay.listed(new NameTable.News(
                EndpointListKind.DELTA,
                2,
                List.of(new NameTable.Line(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.DRAINING, 1), "127.0.0.1", 80))));
        assertThat(execution.connected()).isFalse();
        assertThat(execution.over()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.endings()).containsOnlyKeys(ConnectionOutcome.NEVER_SENT);
    }

    /** The whole list that came after a gap has no line for it any more. */
    @Test
    void aWayThatComesUpToAServerThatAWholeListLeavesOutIsGivenUpUnsent() {
        Execution execution = begin();
        relay.listed(new NameTable.News(
                EndpointListKind.FULL,
                9,
                List.of(new NameTable.Line(
                        new EndpointEntry("s2", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 81))));
        assertThat(execution.connected()).isFalse();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.endings()).containsOnlyKeys(ConnectionOutcome.NEVER_SENT);
    }

    /** It counted as one that may have run, and a request that is not safe was not tried elsewhere. */
    @Test
    void anAttemptWhoseTimeRunsOutBeforeItsRequestIsWrittenNeverRan() {
        Execution execution = begin();
        execution.connected();
        now += 1_000_000;
        relay.turn();
        assertThat(execution.over()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.endings()).containsOnlyKeys(ConnectionOutcome.NOT_CONNECTED);
    }

    @Test
    void aClientThatLeftWhileItsWayCameUpIsNotSentOn() {
        Execution execution = begin();
        ((Counting) execution.client()).gone = true;
        assertThat(execution.connected()).isFalse();
        assertThat(execution.over()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.clients()).isEmpty();
    }

    @Test
    void noWayIsBegunForAClientThatHasLeft() {
        begin();
        take("gone").gone = true;
        take("stays");
        relay.turn();
        assertThat(begun).hasSize(2);
        assertThat(begun.get(1).client().command().key()).isEqualTo("stays");
    }

    /** The one trial of a server whose mark has run out went to a client that had left: it was out of use for good. */
    @Test
    void aTrialWhoseClientLeftInTheSameTurnIsOver() {
        begin().ended(ConnectionOutcome.RESET);
        for (int i = 0; i < 300; i++) {
            now += 10_000;
            relay.turn();
            begun.stream().filter(e -> !e.over()).forEach(e -> e.ended(ConnectionOutcome.RESET));
        }
        assertThat(relay.clients()).isEmpty();
        now += 10_000_000;
        int before = begun.size();
        relay.clientLeft(take("gone"));
        relay.turn();
        assertThat(begun).hasSize(before);
        take("next");
        relay.turn();
        assertThat(begun).hasSize(before + 1);
    }

    /** Moved at once, clients of relays that are restarted in turn come to the one that is next, or to none. */
    @Test
    void aDrainingRelayKeepsItsClientsAlmostUntilItIsKilled() {
        begin().up();
        for (int i = 0; i < 19; i++) {
            relay.take(new Counting(), new ClientRequest("k" + i, 0, 0, null, 1_000_000, 0, false, null));
        }
        relay.turn();
        begun.forEach(Execution::up);
        relay.drain(() -> 0, () -> {});
        now += 790_000;
        relay.turn();
        assertThat(moved).isZero();
        now += 700_000;
        relay.turn();
        assertThat(moved).isBetween(1, 19);
        now += 510_000;
        relay.turn();
        assertThat(moved).isEqualTo(20);
    }

    /**
     * The platform kills by the settings that it had when it said stop. A reload that came after moved the end: with a
     * longer deadline the relay waited for its guests beyond that, with a shorter one it let them down early.
     */
    @ParameterizedTest
    @ValueSource(longs = {300_000, 2_000_000, 30_000_000})
    void aReloadWhileItDrainsMovesNeitherTheLastClientNorTheEnd(long deadline) {
        begin().up();
        boolean[] drained = new boolean[1];
        relay.drain(() -> 1, () -> drained[0] = true);
        now += 100_000;
        relay.termsAre(EffectiveSettings.numbered(settings(deadline)));
        take("late");
        relay.turn();
        begun.get(1).up();
        now += 2_050_000;
        relay.turn();
        assertThat(moved).isEqualTo(2);
        assertThat(drained[0]).as("before the end").isFalse();
        now += 60_000;
        relay.turn();
        assertThat(drained[0]).as("at the end").isTrue();
    }

    @Test
    void aServerThatSendsAClientAwayDrainsUntilDiscoveryTellsOrTimePasses() {
        begin().up();
        begun.get(0).ended(ConnectionOutcome.SENT_AWAY);
        assertThat(relay.names().get("s1").entry().state()).isEqualTo(EndpointState.DRAINING);
        now += 10_000_000;
        relay.turn();
        assertThat(relay.names().get("s1").entry().state()).isEqualTo(EndpointState.READY);
    }

    /** The first ending counts: a front that reports a second one changes nothing. */
    @Test
    void anExecutionEndsOnceAndACommandIsAnsweredOnce() {
        Execution execution = begin();
        execution.connected();
        execution.written();
        now += 1_000_000;
        relay.turn();
        execution.ended(ConnectionOutcome.RESET);
        execution.up();
        now += 1_000_000;
        relay.turn();
        assertThat(nacks).containsExactly(new Refusal(Refusal.Kind.FAILED, 0));
        assertThat(relay.clients()).isEmpty();
        assertThat(relay.endings()).containsOnlyKeys(ConnectionOutcome.OUT_OF_TIME);
    }
}
