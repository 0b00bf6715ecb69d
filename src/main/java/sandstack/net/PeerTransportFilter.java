package sandstack.net;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The lowest filter of a chain: creates a {@link Peer} for each accepted connection and reads into its buffer. Replaces
 * Grizzly's transport filter, which closes both directions when the remote side closes one.
 */
final class PeerTransportFilter extends BaseFilter {
    private final EventLoop loop;

    PeerTransportFilter(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        new Peer(context.getConnection(), loop);
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Peer peer = Peer.of(context.getConnection());
        if (peer != null) {
            peer.runGuarded(peer::onReadable);
        }
        return context.getStopAction();
    }
}
