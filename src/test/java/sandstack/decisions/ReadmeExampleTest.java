package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.capacity.InstallationLimits;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * The example of the README: one request through a failed attempt, a backoff, a second attempt and the end of its
 * connection.
 */
class ReadmeExampleTest {
    @Test
    void requestIsRetriedEstablishedAndEnded() {
        RequestClass feed =
                new RequestClass(500_000, 2_000_000, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 100_000);
        BalancerSettings settings = BalancerSettingsBuilder.of(List.of(feed))
                .relayCount(4)
                .maxAttempts(3)
                .connectTimeoutMicros(100_000)
                .retryAfterHonored(true)
                .maxRetryAfterMicros(2_000_000)
                .drainGraceMicros(1_000_000)
                .slowStartInitialFraction(0.3)
                .slowStartDurationMicros(8_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(2_000_000)
                .build();
        long nowMicros = 0;
        LoadBalancer loadBalancer =
                new LoadBalancer(settings, BalancerHarness.PLATFORM_CAPACITIES, InstallationLimits.NONE, 42, nowMicros);
        loadBalancer.handle(
                new EndpointListUpdate(
                        EndpointListKind.FULL,
                        List.of(
                                new EndpointEntry("a", 0, 0, 0, 0, EndpointState.READY, 1),
                                new EndpointEntry("b", 0, 0, 0, 0, EndpointState.READY, 1))),
                nowMicros);

        ConnectRequested request =
                new ConnectRequested("r1", 0, 0, "client-7", null, nowMicros + 2_000_000, 0, false, false);
        StartAttempt first =
                (StartAttempt) loadBalancer.handle(request, nowMicros).get(0);

        nowMicros += 5_000;
        SetTimer retryTimer = (SetTimer) loadBalancer
                .handle(
                        new AttemptEnded("r1", 0, first.serverId(), AttemptOutcome.CONNECT_FAILED, false, 5_000, null),
                        nowMicros)
                .get(0);
        nowMicros += retryTimer.delayMicros();
        StartAttempt second = (StartAttempt) loadBalancer
                .handle(new TimerExpired(retryTimer.token()), nowMicros)
                .get(0);
        assertTrue(!second.serverId().equals(first.serverId()), "the retry goes to the server that failed");

        loadBalancer.handle(new ConnectionEstablished("r1", 1, second.serverId(), 9_000), nowMicros + 9_000);
        nowMicros += 60_000_000;
        List<BalancerAction> finalActions = loadBalancer.handle(
                new AttemptEnded("r1", 1, second.serverId(), AttemptOutcome.OK, true, 60_000_000, null), nowMicros);
        assertEquals(List.of(), finalActions);
    }
}
