package sandstack.directory;

import com.unboundid.ldap.listener.LDAPListener;
import com.unboundid.ldap.listener.LDAPListenerClientConnection;
import com.unboundid.ldap.listener.LDAPListenerConfig;
import com.unboundid.ldap.listener.LDAPListenerRequestHandler;
import com.unboundid.ldap.protocol.AddRequestProtocolOp;
import com.unboundid.ldap.protocol.AddResponseProtocolOp;
import com.unboundid.ldap.protocol.BindRequestProtocolOp;
import com.unboundid.ldap.protocol.BindResponseProtocolOp;
import com.unboundid.ldap.protocol.CompareRequestProtocolOp;
import com.unboundid.ldap.protocol.CompareResponseProtocolOp;
import com.unboundid.ldap.protocol.DeleteRequestProtocolOp;
import com.unboundid.ldap.protocol.DeleteResponseProtocolOp;
import com.unboundid.ldap.protocol.ExtendedRequestProtocolOp;
import com.unboundid.ldap.protocol.ExtendedResponseProtocolOp;
import com.unboundid.ldap.protocol.LDAPMessage;
import com.unboundid.ldap.protocol.ModifyDNRequestProtocolOp;
import com.unboundid.ldap.protocol.ModifyDNResponseProtocolOp;
import com.unboundid.ldap.protocol.ModifyRequestProtocolOp;
import com.unboundid.ldap.protocol.ModifyResponseProtocolOp;
import com.unboundid.ldap.protocol.SearchRequestProtocolOp;
import com.unboundid.ldap.protocol.SearchResultDoneProtocolOp;
import com.unboundid.ldap.protocol.SearchResultEntryProtocolOp;
import com.unboundid.ldap.sdk.Attribute;
import com.unboundid.ldap.sdk.Control;
import com.unboundid.ldap.sdk.Entry;
import com.unboundid.ldap.sdk.LDAPException;
import com.unboundid.ldap.sdk.ResultCode;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * An LDAP server for tests, on a loopback port. Lets one user bind, answers its searches from a list of entries, and
 * rejects all other operations. The library creates a handler of this class for each connection.
 */
final class FakeLdapServer extends LDAPListenerRequestHandler implements AutoCloseable {
    static final String USER = "cn=relay,dc=example";
    static final String PASSWORD = "secret";

    volatile List<Entry> entries = List.of();
    private final LDAPListener listener;
    private final LDAPListenerClientConnection connection;
    private boolean bound;
    private final FakeLdapServer server;

    FakeLdapServer() throws Exception {
        server = this;
        connection = null;
        LDAPListenerConfig config = new LDAPListenerConfig(0, this);
        config.setListenAddress(InetAddress.getLoopbackAddress());
        listener = new LDAPListener(config);
        listener.startListening();
    }

    private FakeLdapServer(FakeLdapServer server, LDAPListenerClientConnection connection) {
        this.server = server;
        this.connection = connection;
        this.listener = null;
    }

    static Entry tenant(String name, String share, String connections) {
        return new Entry(
                "cn=" + name + ",ou=tenants,dc=example",
                new Attribute("objectClass", "sandstackTenant"),
                new Attribute("cn", name),
                new Attribute("sandstackShare", share),
                new Attribute("sandstackConnections", connections));
    }

    int port() {
        return listener.getListenPort();
    }

    @Override
    public void close() {
        listener.shutDown(true);
    }

    @Override
    public LDAPListenerRequestHandler newInstance(LDAPListenerClientConnection newConnection) {
        return new FakeLdapServer(server, newConnection);
    }

    @Override
    public LDAPMessage processBindRequest(int id, BindRequestProtocolOp request, List<Control> controls) {
        bound = USER.equals(request.getBindDN())
                && PASSWORD.equals(request.getSimplePassword().stringValue());
        return new LDAPMessage(
                id,
                new BindResponseProtocolOp(
                        bound ? ResultCode.SUCCESS_INT_VALUE : ResultCode.INVALID_CREDENTIALS_INT_VALUE,
                        null,
                        null,
                        null,
                        null));
    }

    @Override
    public LDAPMessage processSearchRequest(int id, SearchRequestProtocolOp request, List<Control> controls) {
        int result = ResultCode.SUCCESS_INT_VALUE;
        try {
            List<Entry> found = new ArrayList<>();
            for (Entry entry : server.entries) {
                if (bound
                        && entry.matchesBaseAndScope(request.getBaseDN(), request.getScope())
                        && request.getFilter().matchesEntry(entry)) {
                    found.add(entry);
                }
            }
            for (Entry entry : found) {
                connection.sendSearchResultEntry(id, new SearchResultEntryProtocolOp(entry));
            }
        } catch (LDAPException e) {
            result = e.getResultCode().intValue();
        }
        return new LDAPMessage(id, new SearchResultDoneProtocolOp(result, null, null, null));
    }

    private static final int UNWILLING_TO_PERFORM = ResultCode.UNWILLING_TO_PERFORM_INT_VALUE;

    @Override
    public LDAPMessage processAddRequest(int id, AddRequestProtocolOp request, List<Control> controls) {
        return new LDAPMessage(id, new AddResponseProtocolOp(UNWILLING_TO_PERFORM, null, null, null));
    }

    @Override
    public LDAPMessage processCompareRequest(int id, CompareRequestProtocolOp request, List<Control> controls) {
        return new LDAPMessage(id, new CompareResponseProtocolOp(UNWILLING_TO_PERFORM, null, null, null));
    }

    @Override
    public LDAPMessage processDeleteRequest(int id, DeleteRequestProtocolOp request, List<Control> controls) {
        return new LDAPMessage(id, new DeleteResponseProtocolOp(UNWILLING_TO_PERFORM, null, null, null));
    }

    @Override
    public LDAPMessage processExtendedRequest(int id, ExtendedRequestProtocolOp request, List<Control> controls) {
        return new LDAPMessage(id, new ExtendedResponseProtocolOp(UNWILLING_TO_PERFORM, null, null, null, null, null));
    }

    @Override
    public LDAPMessage processModifyRequest(int id, ModifyRequestProtocolOp request, List<Control> controls) {
        return new LDAPMessage(id, new ModifyResponseProtocolOp(UNWILLING_TO_PERFORM, null, null, null));
    }

    @Override
    public LDAPMessage processModifyDNRequest(int id, ModifyDNRequestProtocolOp request, List<Control> controls) {
        return new LDAPMessage(id, new ModifyDNResponseProtocolOp(UNWILLING_TO_PERFORM, null, null, null));
    }
}
