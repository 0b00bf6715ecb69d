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

/** Connection attempts, their retries and the graceful shutdown, on a clock that the test advances. */
class ConnectionAttemptTest {
    private long now = 1_000_000;
    private final List<Rejection> rejections = new ArrayList<>();
    private final List<ConnectionAttempt> startedAttempts = new ArrayList<>();
    private int abandonedCount;
    private int migratedCount;
    private final Relay relay = new Relay(settings(2_000_000), 1, () -> now, () -> {});

    private static BalancerSettings settings(long deadline) {
        return BalancerSettingsBuilder.of(List.of(
                        new RequestClass(300_000, deadline, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0)))
                .connectTimeoutMicros(100_000)
                .maxRetryAfterMicros(1_000_000)
                .overloadMultiple(3)
                .build();
    }

    /** A client whose upstream connections only count how often they are abandoned or migrated. */
    private final class CountingSession extends ClientSession {
        /** Whether the relay's next check finds that the client has disconnected. */
        private boolean hasDisconnected;

        @Override
        protected void checkConnected() {
            if (hasDisconnected) {
                relay.onClientDisconnected(this);
            }
        }

        @Override
        protected ConnectionAttempt.Upstream startAttempt(ConnectionAttempt attempt) {
            startedAttempts.add(attempt);
            return new ConnectionAttempt.Upstream() {
                @Override
                public void abandon() {
                    abandonedCount++;
                }

                @Override
                public void migrate() {
                    migratedCount++;
                }
            };
        }

        @Override
        protected void sendRejection(Rejection rejection) {
            rejections.add(rejection);
        }
    }

    private CountingSession accept(String key) {
        CountingSession client = new CountingSession();
        relay.accept(client, new ClientRequest(key, 0, 0, null, 1_000_000, 0, false, null));
        return client;
    }

    private ConnectionAttempt startAttempt() {
        relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                1,
                List.of(new EndpointRegistry.Endpoint(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 80))));
        relay.accept(new CountingSession(), new ClientRequest("k", 0, 0, null, 1_000_000, 0, false, null));
        relay.runTurn();
        return startedAttempts.get(0);
    }

    /**
     * If the timeout alone ended an attempt, a relay that was suspended past it would cancel connections that opened in
     * the meantime.
     */
    @Test
    void aSuspendedRelayPollsOnceMoreBeforeAConnectCountsAsFailed() {
        ConnectionAttempt attempt = startAttempt();
        now += 150_000;
        relay.runTurn();
        attempt.onConnected();
        now += 5_000;
        relay.runTurn();
        assertThat(attempt.hasEnded()).isFalse();
        assertThat(abandonedCount).isZero();
    }

    @Test
    void aConnectThatNeverCompletesIsCancelled() {
        ConnectionAttempt attempt = startAttempt();
        now += 101_000;
        relay.runTurn();
        now += 1_000;
        relay.runTurn();
        assertThat(attempt.hasEnded()).isTrue();
        assertThat(abandonedCount).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsEntry(ConnectionOutcome.NOT_CONNECTED, 1L);
    }

    /** Without a check after the connect, the request would be sent to a feed server that began to drain meanwhile. */
    @Test
    void aConnectionToADrainingServerIsCancelledUnsent() {
        ConnectionAttempt attempt = startAttempt();
        relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.DELTA,
                2,
                List.of(new EndpointRegistry.Endpoint(
                        new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.DRAINING, 1), "127.0.0.1", 80))));
        assertThat(attempt.onConnected()).isFalse();
        assertThat(attempt.hasEnded()).isTrue();
        assertThat(abandonedCount).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.NOT_SENT);
    }

    /** The server was removed while the watch was interrupted, so the next full list has no entry for it. */
    @Test
    void aConnectionToAServerThatAFullListOmitsIsCancelledUnsent() {
        ConnectionAttempt attempt = startAttempt();
        relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                9,
                List.of(new EndpointRegistry.Endpoint(
                        new EndpointEntry("s2", 0, 0, 0, 0, EndpointState.READY, 1), "127.0.0.1", 81))));
        assertThat(attempt.onConnected()).isFalse();
        assertThat(abandonedCount).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.NOT_SENT);
    }

    /**
     * If the attempt counted as possibly executed, a request that is not idempotent would not be retried at another
     * server.
     */
    @Test
    void anAttemptThatTimesOutBeforeItsRequestIsWrittenWasNotExecuted() {
        ConnectionAttempt attempt = startAttempt();
        attempt.onConnected();
        now += 1_000_000;
        relay.runTurn();
        assertThat(attempt.hasEnded()).isTrue();
        assertThat(abandonedCount).isEqualTo(1);
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.NOT_CONNECTED);
    }

    @Test
    void aClientThatLeftDuringTheConnectIsNotForwarded() {
        ConnectionAttempt attempt = startAttempt();
        ((CountingSession) attempt.client()).hasDisconnected = true;
        assertThat(attempt.onConnected()).isFalse();
        assertThat(attempt.hasEnded()).isTrue();
        assertThat(abandonedCount).isEqualTo(1);
        assertThat(relay.clients()).isEmpty();
    }

    @Test
    void noAttemptIsStartedForAClientThatHasLeft() {
        startAttempt();
        accept("gone").hasDisconnected = true;
        accept("stays");
        relay.runTurn();
        assertThat(startedAttempts).hasSize(2);
        assertThat(startedAttempts.get(1).client().request().clientKey()).isEqualTo("stays");
    }

    /**
     * An ejected server gets one trial request. If the trial of a client that disconnects in the same turn did not end,
     * the server would stay ejected forever.
     */
    @Test
    void aTrialWhoseClientLeftInTheSameTurnHasEnded() {
        startAttempt().onEnded(ConnectionOutcome.RESET);
        for (int i = 0; i < 300; i++) {
            now += 10_000;
            relay.runTurn();
            startedAttempts.stream()
                    .filter(attempt -> !attempt.hasEnded())
                    .forEach(attempt -> attempt.onEnded(ConnectionOutcome.RESET));
        }
        assertThat(relay.clients()).isEmpty();
        now += 10_000_000;
        int before = startedAttempts.size();
        relay.onClientDisconnected(accept("gone"));
        relay.runTurn();
        assertThat(startedAttempts).hasSize(before);
        accept("next");
        relay.runTurn();
        assertThat(startedAttempts).hasSize(before + 1);
    }

    /**
     * In a rolling restart, a client that migrates early may connect to the relay that is restarted next, or find no
     * relay that accepts it.
     */
    @Test
    void aDrainingRelayMigratesItsClientsAtTheEndOfTheDrain() {
        startAttempt().onEstablished();
        for (int i = 0; i < 19; i++) {
            relay.accept(new CountingSession(), new ClientRequest("k" + i, 0, 0, null, 1_000_000, 0, false, null));
        }
        relay.runTurn();
        startedAttempts.forEach(ConnectionAttempt::onEstablished);
        relay.drain(() -> 0, () -> {});
        now += 790_000;
        relay.runTurn();
        assertThat(migratedCount).isZero();
        now += 700_000;
        relay.runTurn();
        assertThat(migratedCount).isBetween(1, 19);
        now += 510_000;
        relay.runTurn();
        assertThat(migratedCount).isEqualTo(20);
    }

    /**
     * The platform kills the process according to the settings in force at SIGTERM. If a later reload changed the end
     * of the drain, the relay would wait beyond the kill with a longer deadline, and fail its clients early with a
     * shorter one.
     */
    @ParameterizedTest
    @ValueSource(longs = {300_000, 2_000_000, 30_000_000})
    void aReloadWhileDrainingChangesNeitherTheLastMigrationNorTheEnd(long deadline) {
        startAttempt().onEstablished();
        boolean[] drained = new boolean[1];
        relay.drain(() -> 1, () -> drained[0] = true);
        now += 100_000;
        relay.applySettings(EffectiveSettings.numbered(settings(deadline)));
        accept("late");
        relay.runTurn();
        startedAttempts.get(1).onEstablished();
        now += 2_050_000;
        relay.runTurn();
        assertThat(migratedCount).isEqualTo(2);
        assertThat(drained[0]).as("drain complete before its fixed end").isFalse();
        now += 60_000;
        relay.runTurn();
        assertThat(drained[0]).as("drain complete at its fixed end").isTrue();
    }

    @Test
    void aServerThatMigratesAClientCountsAsDrainingFor10Seconds() {
        startAttempt().onEstablished();
        startedAttempts.get(0).onEnded(ConnectionOutcome.SERVER_DRAINING);
        assertThat(relay.endpoints().get("s1").entry().state()).isEqualTo(EndpointState.DRAINING);
        now += 10_000_000;
        relay.runTurn();
        assertThat(relay.endpoints().get("s1").entry().state()).isEqualTo(EndpointState.READY);
    }

    /** Only the first reported end counts; a second report by the front has no effect. */
    @Test
    void anAttemptEndsOnceAndARequestIsAnsweredOnce() {
        ConnectionAttempt attempt = startAttempt();
        attempt.onConnected();
        attempt.onRequestWritten();
        now += 1_000_000;
        relay.runTurn();
        attempt.onEnded(ConnectionOutcome.RESET);
        attempt.onEstablished();
        now += 1_000_000;
        relay.runTurn();
        assertThat(rejections).containsExactly(new Rejection(Rejection.Kind.FAILED, 0));
        assertThat(relay.clients()).isEmpty();
        assertThat(relay.outcomeCounts()).containsOnlyKeys(ConnectionOutcome.TIMED_OUT);
    }
}
