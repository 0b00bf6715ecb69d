package sandstack.decisions;

import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.ActionHandler;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.Fail;
import sandstack.decisions.Decisions.Refuse;
import sandstack.decisions.Decisions.Relocate;
import sandstack.decisions.Decisions.SetTimer;
import sandstack.decisions.Decisions.WatchServers;

/**
 * Writes an action as the records of commit 9af99ae did by themselves. Stored digests are over that text, so it does not
 * follow renamed types or components.
 */
final class ActionText implements ActionHandler<RuntimeException> {
    private String text;

    /** The text of one action. */
    static String of(Action action) {
        ActionText writer = new ActionText();
        action.dispatch(writer);
        return writer.text;
    }

    @Override
    public void attempt(Attempt action) {
        text = "Attempt[id=" + action.id() + ", server=" + action.server() + ", timeout=" + action.timeout() + "]";
    }

    @Override
    public void refuse(Refuse action) {
        text = "Refuse[id=" + action.id() + ", retryAfter=" + action.retryAfter() + ", cause=" + action.cause() + "]";
    }

    @Override
    public void fail(Fail action) {
        text = "Fail[id=" + action.id() + "]";
    }

    @Override
    public void relocate(Relocate action) {
        text = "Relocate[id=" + action.id() + "]";
    }

    @Override
    public void setTimer(SetTimer action) {
        text = "SetTimer[after=" + action.after() + ", token=" + action.token() + "]";
    }

    @Override
    public void watchServers(WatchServers action) {
        text = "WatchServers[]";
    }
}
