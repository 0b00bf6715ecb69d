package sandstack.decisions;

import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.WatchEndpointList;

/**
 * Decides when the endpoint list is requested: after a restart with a cached list, and again after each failure.
 * Confined to the thread of the load balancer. All calls are O(1).
 */
final class EndpointListPoller {
    /** Token of the poll timer; tokens of request timers are above 0. */
    static final long TIMER_TOKEN = -1;

    private final BalancerContext context;
    private int consecutiveFailures;
    private boolean scheduled;

    EndpointListPoller(BalancerContext context) {
        this.context = context;
    }

    /** A poll or a watch failed: repeats it after the backoff of {@link BalancerSettings#endpointListStaleness}. */
    void onFailure() {
        scheduled = false;
        consecutiveFailures++;
        schedule();
    }

    /** A list has arrived. A cached list may be stale, so a current one is requested if lists are polled. */
    void onList(EndpointListKind kind) {
        if (kind != EndpointListKind.CACHED) {
            consecutiveFailures = 0;
        } else if (context.settings().endpointListPolled()) {
            schedule();
        }
    }

    private void schedule() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        if (consecutiveFailures == 0) {
            poll();
            return;
        }
        context.addAction(new SetTimer(
                context.settings().endpointListStaleness().backoffMicros(consecutiveFailures, context.uniform()),
                TIMER_TOKEN));
    }

    /** Requests the list now. */
    void poll() {
        scheduled = false;
        context.addAction(new WatchEndpointList());
    }
}
