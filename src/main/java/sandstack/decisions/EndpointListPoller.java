package sandstack.decisions;

import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.WatchEndpointList;

/**
 * When the endpoint list is requested: after a restart with a cached list, and again after failures. One thread; all
 * calls O(1).
 */
final class EndpointListPoller {
    /** Token of the poll timer; those of requests are above 0. */
    static final long TIMER_TOKEN = -1;

    private final BalancerContext context;
    private int consecutiveFailures;
    private boolean scheduled;

    EndpointListPoller(BalancerContext context) {
        this.context = context;
    }

    /** A request failed: repeats it after a back-off that the settings bound. */
    void onFailure() {
        scheduled = false;
        consecutiveFailures++;
        schedule();
    }

    /** A list has arrived; a cached one may be old, so where lists are polled a current one is requested. */
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
