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

/** Maps requests, rejections and outcomes between {@code core} and AMQP's link properties and error conditions. */
final class AmqpMapping {
    static final Symbol CLASS = Symbol.valueOf("sandstack:class");
    static final Symbol KEY = Symbol.valueOf("sandstack:key");
    static final Symbol GROUP = Symbol.valueOf("sandstack:group");
    static final Symbol DEADLINE_MILLIS = Symbol.valueOf("sandstack:deadline-ms");
    static final Symbol TENANT = Symbol.valueOf("sandstack:tenant");
    static final Symbol RECONNECTING = Symbol.valueOf("sandstack:again");
    static final Symbol RETRY_AFTER_MILLIS = Symbol.valueOf("sandstack:come-back-ms");
    private static final int MAX_TEXT_CHARS = 256;

    private AmqpMapping() {}

    /** The request that a link's properties describe; null if they are invalid. */
    static ClientRequest toClientRequest(
            Map<Symbol, Object> properties, EffectiveSettings effectiveSettings, TenantRegistry tenants) {
        if (properties == null) {
            return null;
        }
        int requestClass = effectiveSettings.indexOf(text(properties, CLASS));
        String key = text(properties, KEY);
        boolean hasNoGroup = properties.get(GROUP) == null;
        String group = text(properties, GROUP);
        if (requestClass < 0
                || key == null
                || (!hasNoGroup && group == null)
                || !(properties.get(DEADLINE_MILLIS) instanceof Number deadline)
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
                Boolean.TRUE.equals(properties.get(RECONNECTING)),
                null);
    }

    private static String text(Map<Symbol, Object> properties, Symbol name) {
        Object value = properties.get(name);
        String text = value instanceof String || value instanceof Symbol ? value.toString() : null;
        return text == null || text.isEmpty() || text.length() > MAX_TEXT_CHARS ? null : text;
    }

    /**
     * The link properties for a feed server: the client's, with the deadline replaced by the attempt's remaining time.
     */
    static Map<Symbol, Object> toUpstreamProperties(Map<Symbol, Object> properties, long remainingMillis) {
        Map<Symbol, Object> forwarded = new HashMap<>(properties);
        forwarded.put(DEADLINE_MILLIS, UnsignedInteger.valueOf(remainingMillis));
        return forwarded;
    }

    /** The error with which the relay detaches a client's link instead of serving its request. */
    static ErrorCondition rejectionError(Rejection rejection) {
        return switch (rejection.kind()) {
            case REJECTED -> new ErrorCondition(
                    AmqpError.RESOURCE_LIMIT_EXCEEDED,
                    "refused; trying again is harmless",
                    rejection.retryAfterMillis() <= 0
                            ? null
                            : Map.of(RETRY_AFTER_MILLIS, UnsignedInteger.valueOf(rejection.retryAfterMillis())));
            case FAILED -> new ErrorCondition(AmqpError.INTERNAL_ERROR, "failed");
            case MALFORMED -> new ErrorCondition(AmqpError.INVALID_FIELD, "the link's properties make no sense");
        };
    }

    /** The error with which a client's connection is closed when the client has to reconnect. */
    static ErrorCondition migrationError() {
        return new ErrorCondition(ConnectionError.CONNECTION_FORCED, "move: come again");
    }

    /** The outcome of an attempt whose feed server detached or closed; {@code error} is null if it sent no error. */
    static ConnectionOutcome outcome(ErrorCondition error, boolean established) {
        Symbol condition = error == null ? null : error.getCondition();
        boolean draining =
                ConnectionError.CONNECTION_FORCED.equals(condition) || LinkError.DETACH_FORCED.equals(condition);
        if (established) {
            return condition == null
                    ? ConnectionOutcome.SERVED
                    : draining ? ConnectionOutcome.SERVER_DRAINING : ConnectionOutcome.SERVER_ERROR;
        }
        return draining || AmqpError.RESOURCE_LIMIT_EXCEEDED.equals(condition)
                ? ConnectionOutcome.REJECTED
                : ConnectionOutcome.SERVER_ERROR;
    }
}
