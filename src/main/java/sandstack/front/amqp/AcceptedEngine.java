package sandstack.front.amqp;

import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import sandstack.net.RingBuffer;

/** Creates the protocol engine of an accepted connection. Stateless. */
final class AcceptedEngine {
    private static final int PROTOCOL_ID_INDEX = 4;
    private static final int SASL_PROTOCOL_ID = 3;

    private AcceptedEngine() {}

    /**
     * Creates the engine that the client's protocol header at the start of the input asks for: with SASL or without.
     */
    static Engine forHeader(RingBuffer input) {
        if (input.byteAt(PROTOCOL_ID_INDEX) != SASL_PROTOCOL_ID) {
            return EngineFactory.PROTON.createNonSaslEngine();
        }
        Engine engine = EngineFactory.PROTON.createEngine();
        engine.saslDriver().server().setListener(new AnonymousSaslListener());
        return engine;
    }
}
