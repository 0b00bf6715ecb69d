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
class ConnectionAttemptTest {
    private long now = 1_000_000;
    private final List<Rejection> nacks = new ArrayList<>();
    private final List<ConnectionAttempt> begun = new ArrayList<>();
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
    private final class Counting extends ClientSession {
        /** Whether it is seen to have left once somebody looks. */
        private boolean gone;

        @Override
        protected void checkConnected() {
            if (gone) {
                relay.onClientDisconnected(this);
            }
        }

        @Override
        protected ConnectionAttempt.Upstream startAttempt(ConnectionAttempt execution) {
            begun.add(execution);
            return new ConnectionAttempt.Upstream() {
                @Override
                public void abandon() {
                    abandoned++;
                }

                @Override
                public void migrate() {
                    moved++;
                }
            };
        }

        @Override
        protected void sendRejection(Rejection nack) {
            nacks.add(nack);
        }
    }

    private Counting take(String key) {
        Counting client = new Counting();
        relay.accept(client, new ClientRequest(key, 0, 0, null, 1_000_000, 0, false, null));
        return client;
    }

    private ConnectionAttempt begin() {
        relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                1,
                List.of(new EndpointRegistry.Endpoint(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 80))));
        relay.accept(new Counting(), new ClientRequest("k", 0, 0, null, 1_000_000, 0, false, null));
        relay.runTurn();
        return begun.get(0);
    }

    /** Held up past the time-out, the relay gave up connections that had long come up. */
    @Test
    void aHeldUpRelayLooksOnceMoreBeforeAConnectCountsAsFailed() {
        ConnectionAttempt execution = begin();
        now += 150_000;
        relay.runTurn();
        execution.onConnected();
        now += 5_000;
        relay.runTurn();
        assertThat(execution.hasEnded()).isFalse();
        assertThat(abandoned).isZero();
    }

    @Test
    void aConnectThatNeverComesUpIsGivenUp() {
        ConnectionAttempt execution = begin();
        now += 101_000;
        relay.runTurn();
        now += 1_000;
        relay.runTurn();
        assertThat(execution.hasEnded()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsEntry(ConnectionOutcome.NOT_CONNECTED, 1L);
    }

    /** Its feed server was told to drain while the way there came up: the first line would have gone to it all the same. */
    @Test
    void aWayThatComesUpToADrainingServerIsGivenUpUnsent() {
        ConnectionAttempt execution = begin();
        relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.DELTA,
                2,
                List.of(new EndpointRegistry.Endpoint(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.DRAINING, 1), "127.0.0.1", 80))));
        assertThat(execution.onConnected()).isFalse();
        assertThat(execution.hasEnded()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.NOT_SENT);
    }

    /** The whole list that came after a gap has no line for it any more. */
    @Test
    void aWayThatComesUpToAServerThatAWholeListLeavesOutIsGivenUpUnsent() {
        ConnectionAttempt execution = begin();
        relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                9,
                List.of(new EndpointRegistry.Endpoint(
                        new EndpointEntry("s2", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 81))));
        assertThat(execution.onConnected()).isFalse();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.NOT_SENT);
    }

    /** It counted as one that may have run, and a request that is not safe was not tried elsewhere. */
    @Test
    void anAttemptWhoseTimeRunsOutBeforeItsRequestIsWrittenNeverRan() {
        ConnectionAttempt execution = begin();
        execution.onConnected();
        now += 1_000_000;
        relay.runTurn();
        assertThat(execution.hasEnded()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.NOT_CONNECTED);
    }

    @Test
    void aClientThatLeftWhileItsWayCameUpIsNotSentOn() {
        ConnectionAttempt execution = begin();
        ((Counting) execution.client()).gone = true;
        assertThat(execution.onConnected()).isFalse();
        assertThat(execution.hasEnded()).isTrue();
        assertThat(abandoned).isEqualTo(1);
        assertThat(relay.clients()).isEmpty();
    }

    @Test
    void noWayIsBegunForAClientThatHasLeft() {
        begin();
        take("gone").gone = true;
        take("stays");
        relay.runTurn();
        assertThat(begun).hasSize(2);
        assertThat(begun.get(1).client().request().clientKey()).isEqualTo("stays");
    }

    /** The one trial of a server whose mark has run out went to a client that had left: it was out of use for good. */
    @Test
    void aTrialWhoseClientLeftInTheSameTurnIsOver() {
        begin().onEnded(ConnectionOutcome.RESET);
        for (int i = 0; i < 300; i++) {
            now += 10_000;
            relay.runTurn();
            begun.stream().filter(e -> !e.hasEnded()).forEach(e -> e.onEnded(ConnectionOutcome.RESET));
        }
        assertThat(relay.clients()).isEmpty();
        now += 10_000_000;
        int before = begun.size();
        relay.onClientDisconnected(take("gone"));
        relay.runTurn();
        assertThat(begun).hasSize(before);
        take("next");
        relay.runTurn();
        assertThat(begun).hasSize(before + 1);
    }

    /** Moved at once, clients of relays that are restarted in turn come to the one that is next, or to none. */
    @Test
    void aDrainingRelayKeepsItsClientsAlmostUntilItIsKilled() {
        begin().onEstablished();
        for (int i = 0; i < 19; i++) {
            relay.accept(new Counting(), new ClientRequest("k" + i, 0, 0, null, 1_000_000, 0, false, null));
        }
        relay.runTurn();
        begun.forEach(ConnectionAttempt::onEstablished);
        relay.drain(() -> 0, () -> {});
        now += 790_000;
        relay.runTurn();
        assertThat(moved).isZero();
        now += 700_000;
        relay.runTurn();
        assertThat(moved).isBetween(1, 19);
        now += 510_000;
        relay.runTurn();
        assertThat(moved).isEqualTo(20);
    }

    /**
     * The platform kills by the settings that it had when it said stop. A reload that came after moved the end: with a
     * longer deadline the relay waited for its guests beyond that, with a shorter one it let them down early.
     */
    @ParameterizedTest
    @ValueSource(longs = {300_000, 2_000_000, 30_000_000})
    void aReloadWhileItDrainsMovesNeitherTheLastClientNorTheEnd(long deadline) {
        begin().onEstablished();
        boolean[] drained = new boolean[1];
        relay.drain(() -> 1, () -> drained[0] = true);
        now += 100_000;
        relay.applySettings(EffectiveSettings.numbered(settings(deadline)));
        take("late");
        relay.runTurn();
        begun.get(1).onEstablished();
        now += 2_050_000;
        relay.runTurn();
        assertThat(moved).isEqualTo(2);
        assertThat(drained[0]).as("before the end").isFalse();
        now += 60_000;
        relay.runTurn();
        assertThat(drained[0]).as("at the end").isTrue();
    }

    @Test
    void aServerThatSendsAClientAwayDrainsUntilDiscoveryTellsOrTimePasses() {
        begin().onEstablished();
        begun.get(0).onEnded(ConnectionOutcome.SERVER_DRAINING);
        assertThat(relay.endpoints().get("s1").entry().state()).isEqualTo(EndpointState.DRAINING);
        now += 10_000_000;
        relay.runTurn();
        assertThat(relay.endpoints().get("s1").entry().state()).isEqualTo(EndpointState.READY);
    }

    /** The first ending counts: a front that reports a second one changes nothing. */
    @Test
    void anExecutionEndsOnceAndACommandIsAnsweredOnce() {
        ConnectionAttempt execution = begin();
        execution.onConnected();
        execution.onRequestWritten();
        now += 1_000_000;
        relay.runTurn();
        execution.onEnded(ConnectionOutcome.RESET);
        execution.onEstablished();
        now += 1_000_000;
        relay.runTurn();
        assertThat(nacks).containsExactly(new Rejection(Rejection.Kind.FAILED, 0));
        assertThat(relay.clients()).isEmpty();
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.TIMED_OUT);
    }
}
