package sandstack.benchlink;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import sandstack.decisions.Decisions.ActionHandler;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.Fail;
import sandstack.decisions.Decisions.Refuse;
import sandstack.decisions.Decisions.Relocate;
import sandstack.decisions.Decisions.SetTimer;
import sandstack.decisions.Decisions.WatchServers;

/** Writes the members of one action in the simulator's words, into an object that the caller begins and ends. */
record ActionWriter(JsonGenerator out) implements ActionHandler<IOException> {
    @Override
    public void attempt(Attempt action) throws IOException {
        out.writeStringField("t", "HandOff");
        out.writeStringField("corr", action.id());
        out.writeStringField("server", action.server());
        if (action.timeout() != 0) {
            out.writeNumberField("patience_us", action.timeout());
        }
    }

    @Override
    public void setTimer(SetTimer action) throws IOException {
        out.writeStringField("t", "Timer");
        out.writeNumberField("after_us", action.after());
        out.writeStringField("handle", Long.toString(action.token()));
    }

    @Override
    public void refuse(Refuse action) throws IOException {
        out.writeStringField("t", "TurnAway");
        out.writeStringField("corr", action.id());
        if (action.retryAfter() > 0) {
            out.writeNumberField("hold_off_us", action.retryAfter());
        }
    }

    @Override
    public void fail(Fail action) throws IOException {
        out.writeStringField("t", "Error");
        out.writeStringField("corr", action.id());
    }

    @Override
    public void relocate(Relocate action) throws IOException {
        out.writeStringField("t", "Migrate");
        out.writeStringField("corr", action.id());
    }

    @Override
    public void watchServers(WatchServers action) throws IOException {
        out.writeStringField("t", "Subscribe");
        out.writeBooleanField("active", true);
    }
}
