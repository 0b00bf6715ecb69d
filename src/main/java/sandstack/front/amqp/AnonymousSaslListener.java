package sandstack.front.amqp;

import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.engine.sasl.SaslOutcome;
import org.apache.qpid.protonj2.engine.sasl.SaslServerContext;
import org.apache.qpid.protonj2.engine.sasl.SaslServerListener;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.transport.AMQPHeader;

/** Offers and accepts only SASL ANONYMOUS, because the relay does not authenticate clients in any of its protocols. */
final class AnonymousSaslListener implements SaslServerListener {
    private static final Symbol ANONYMOUS = Symbol.valueOf("ANONYMOUS");

    @Override
    public void handleSaslHeader(SaslServerContext context, AMQPHeader header) {
        context.sendMechanisms(new Symbol[] {ANONYMOUS});
    }

    @Override
    public void handleSaslInit(SaslServerContext context, Symbol mechanism, ProtonBuffer response) {
        context.sendOutcome(ANONYMOUS.equals(mechanism) ? SaslOutcome.SASL_OK : SaslOutcome.SASL_AUTH, null);
    }

    @Override
    public void handleSaslResponse(SaslServerContext context, ProtonBuffer response) {
        context.sendOutcome(SaslOutcome.SASL_AUTH, null);
    }
}
