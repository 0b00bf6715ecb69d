package sandstack.scenario;

import java.security.Principal;
import org.apache.qpid.protonj2.engine.sasl.client.SaslCredentialsProvider;

/** Credentials for SASL ANONYMOUS, which has neither user nor password. */
final class AnonymousCredentials implements SaslCredentialsProvider {
    @Override
    public String vhost() {
        return null;
    }

    @Override
    public String username() {
        return null;
    }

    @Override
    public String password() {
        return null;
    }

    @Override
    public Principal localPrincipal() {
        return null;
    }
}
