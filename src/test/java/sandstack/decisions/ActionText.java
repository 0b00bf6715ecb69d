package sandstack.decisions;

import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerAction.WatchEndpointList;

/**
 * Formats an action like the {@code toString} of the records of commit 9af99ae. Stored digests cover this text, so it
 * does not follow the names of types or components.
 */
final class ActionText implements BalancerAction.Handler<RuntimeException> {
    private String text;

    /** The text of one action. */
    static String of(BalancerAction action) {
        ActionText writer = new ActionText();
        action.dispatch(writer);
        return writer.text;
    }

    @Override
    public void startAttempt(StartAttempt action) {
        text = "Attempt[id=" + action.requestId() + ", server=" + action.serverId() + ", timeout="
                + action.timeoutMicros() + "]";
    }

    @Override
    public void reject(Reject action) {
        text = "Refuse[id=" + action.requestId() + ", retryAfter=" + action.retryAfterMicros() + ", cause="
                + action.reason() + "]";
    }

    @Override
    public void fail(Fail action) {
        text = "Fail[id=" + action.requestId() + "]";
    }

    @Override
    public void migrate(Migrate action) {
        text = "Relocate[id=" + action.requestId() + "]";
    }

    @Override
    public void setTimer(SetTimer action) {
        text = "SetTimer[after=" + action.delayMicros() + ", token=" + action.token() + "]";
    }

    @Override
    public void watchEndpointList(WatchEndpointList action) {
        text = "WatchServers[]";
    }
}
