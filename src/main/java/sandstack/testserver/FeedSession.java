package sandstack.testserver;

import sandstack.net.Peer;

/** One connection of a {@link FakeFeedServer}, from its request to its end. Used on the thread of its loop. */
final class FeedSession implements Peer.Listener, FakeFeedServer.Subscriber {
    private static final int MAX_LINE_LENGTH = 4096;
    private static final int REQUEST_FIELDS = 4;

    private final FakeFeedServer server;
    private final Peer peer;
    /** The parameters of the request; null until the request has been read. */
    private String parameters;

    private boolean settingUp;
    private long establishedMicros;
    private boolean closed;

    FeedSession(FakeFeedServer server, Peer peer) {
        this.server = server;
        this.peer = peer;
        peer.setListener(this);
    }

    /** The parameters of the request, such as {@code c=order-status,d=10000}. */
    String parameters() {
        return parameters;
    }

    boolean isClosed() {
        return closed;
    }

    /** Whether the request was accepted and the set-up has not completed. */
    boolean isSettingUp() {
        return settingUp;
    }

    long establishedMicros() {
        return establishedMicros;
    }

    void setupStarted() {
        settingUp = true;
    }

    void setupCompleted(long nowMicros, String response) {
        settingUp = false;
        establishedMicros = nowMicros;
        peer.send(response);
    }

    @Override
    public void onBytesReceived(int count) {
        int end = peer.input().indexOf('\n');
        while (end >= 0 && !closed) {
            String line = peer.input().peekText(end + 1);
            peer.input().skip(end + 1);
            if (parameters == null) {
                requestReceived(line.trim());
            } else {
                server.lineReceived(this, line);
            }
            end = peer.input().indexOf('\n');
        }
        if (peer.input().size() >= MAX_LINE_LENGTH) {
            closeWith("SYNTAX\r\n");
        }
    }

    private void requestReceived(String line) {
        String[] fields = line.split(" ", 0);
        if (fields.length != REQUEST_FIELDS || !fields[0].equals("OPEN")) {
            server.invalidRequestReceived();
            closeWith("SYNTAX\r\n");
            return;
        }
        parameters = fields[3];
        server.requestReceived(this, fields[1]);
    }

    @Override
    public boolean send(String line) {
        if (!closed) {
            peer.send(line);
        }
        return !closed;
    }

    void closeWith(String response) {
        if (!closed) {
            setClosed();
            peer.send(response);
            peer.shutdownOutput();
        }
    }

    void reset() {
        setClosed();
        peer.reset();
    }

    private void setClosed() {
        if (!closed) {
            closed = true;
            server.sessionClosed(this);
        }
    }

    @Override
    public void onFlushed() {
        if (closed && peer.isOutputEnded() && peer.isInputEnded()) {
            peer.close();
        }
    }

    @Override
    public void onEndOfInput() {
        setClosed();
        peer.shutdownOutput();
        peer.close();
    }

    @Override
    public void onConnectionLost() {
        setClosed();
    }
}
