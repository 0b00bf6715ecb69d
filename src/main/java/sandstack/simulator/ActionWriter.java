package sandstack.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import sandstack.decisions.BalancerAction;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerAction.WatchEndpointList;

/**
 * Writes the fields of one action, under the simulator's names, into a JSON object that the caller opens and closes.
 */
record ActionWriter(JsonGenerator out) implements BalancerAction.Handler<IOException> {
    @Override
    public void startAttempt(StartAttempt action) throws IOException {
        out.writeStringField("t", "HandOff");
        out.writeStringField("corr", action.requestId());
        out.writeStringField("server", action.serverId());
        if (action.timeoutMicros() != 0) {
            out.writeNumberField("patience_us", action.timeoutMicros());
        }
    }

    @Override
    public void setTimer(SetTimer action) throws IOException {
        out.writeStringField("t", "Timer");
        out.writeNumberField("after_us", action.delayMicros());
        out.writeStringField("handle", Long.toString(action.token()));
    }

    @Override
    public void reject(Reject action) throws IOException {
        out.writeStringField("t", "TurnAway");
        out.writeStringField("corr", action.requestId());
        if (action.retryAfterMicros() > 0) {
            out.writeNumberField("hold_off_us", action.retryAfterMicros());
        }
    }

    @Override
    public void fail(Fail action) throws IOException {
        out.writeStringField("t", "Error");
        out.writeStringField("corr", action.requestId());
    }

    @Override
    public void migrate(Migrate action) throws IOException {
        out.writeStringField("t", "Migrate");
        out.writeStringField("corr", action.requestId());
    }

    @Override
    public void watchEndpointList(WatchEndpointList action) throws IOException {
        out.writeStringField("t", "Subscribe");
        out.writeBooleanField("active", true);
    }
}
