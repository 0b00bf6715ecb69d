package sandstack.front.amqp;

import java.util.HashMap;
import java.util.Map;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.UnsignedInteger;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.ConnectionError;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import sandstack.core.ClientRequest;
import sandstack.core.ConnectionOutcome;
import sandstack.core.EffectiveSettings;
import sandstack.core.Rejection;
import sandstack.core.TenantRegistry;

/** How commands, nacks and endings are said in AMQP. */
final class Words {
    static final Symbol CLASS = Symbol.valueOf("sandstack:class");
    static final Symbol KEY = Symbol.valueOf("sandstack:key");
    static final Symbol GROUP = Symbol.valueOf("sandstack:group");
    static final Symbol DEADLINE = Symbol.valueOf("sandstack:deadline-ms");
    static final Symbol TENANT = Symbol.valueOf("sandstack:tenant");
    static final Symbol AGAIN = Symbol.valueOf("sandstack:again");
    static final Symbol COME_BACK = Symbol.valueOf("sandstack:come-back-ms");
    private static final int LONGEST = 256;

    private Words() {}

    /** The command that a link's properties ask for; null where they make no sense. */
    static ClientRequest command(Map<Symbol, Object> properties, EffectiveSettings terms, TenantRegistry tenants) {
        if (properties == null) {
            return null;
        }
        int requestClass = terms.indexOf(text(properties, CLASS));
        String key = text(properties, KEY);
        boolean groupless = properties.get(GROUP) == null;
        String group = text(properties, GROUP);
        if (requestClass < 0
                || key == null
                || (!groupless && group == null)
                || !(properties.get(DEADLINE) instanceof Number deadline)
                || deadline.longValue() <= 0
                || deadline.longValue() > Integer.MAX_VALUE) {
            return null;
        }
        int tenant = properties.containsKey(TENANT) ? tenants.indexOf(text(properties, TENANT)) : 0;
        return new ClientRequest(
                key,
                requestClass,
                tenant,
                group,
                deadline.longValue() * 1000,
                0,
                Boolean.TRUE.equals(properties.get(AGAIN)),
                null);
    }

    private static String text(Map<Symbol, Object> properties, Symbol name) {
        Object value = properties.get(name);
        String text = value instanceof String || value instanceof Symbol ? value.toString() : null;
        return text == null || text.isEmpty() || text.length() > LONGEST ? null : text;
    }

    /** The properties as they go on to a feed server: unchanged, but with the time that the relay will wait. */
    static Map<Symbol, Object> toServer(Map<Symbol, Object> properties, long patienceMillis) {
        Map<Symbol, Object> passed = new HashMap<>(properties);
        passed.put(DEADLINE, UnsignedInteger.valueOf(patienceMillis));
        return passed;
    }

    static ErrorCondition error(Rejection nack) {
        return switch (nack.kind()) {
            case REJECTED -> new ErrorCondition(
                    AmqpError.RESOURCE_LIMIT_EXCEEDED,
                    "refused; trying again is harmless",
                    nack.retryAfterMillis() <= 0
                            ? null
                            : Map.of(COME_BACK, UnsignedInteger.valueOf(nack.retryAfterMillis())));
            case FAILED -> new ErrorCondition(AmqpError.INTERNAL_ERROR, "failed");
            case MALFORMED -> new ErrorCondition(AmqpError.INVALID_FIELD, "the link's properties make no sense");
        };
    }

    /** What a client is told that has to come again elsewhere. */
    static ErrorCondition move() {
        return new ErrorCondition(ConnectionError.CONNECTION_FORCED, "move: come again");
    }

    /** How an execution ended whose feed server detached or closed with this error, if any. */
    static ConnectionOutcome ending(ErrorCondition error, boolean standing) {
        Symbol condition = error == null ? null : error.getCondition();
        boolean leaving =
                ConnectionError.CONNECTION_FORCED.equals(condition) || LinkError.DETACH_FORCED.equals(condition);
        if (standing) {
            return condition == null
                    ? ConnectionOutcome.SERVED
                    : leaving ? ConnectionOutcome.SERVER_DRAINING : ConnectionOutcome.SERVER_ERROR;
        }
        return leaving || AmqpError.RESOURCE_LIMIT_EXCEEDED.equals(condition)
                ? ConnectionOutcome.REJECTED
                : ConnectionOutcome.SERVER_ERROR;
    }
}
