package sandstack.fleet.link;

import io.scalecube.cluster.transport.api.Message;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import sandstack.concurrent.Futures;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.FleetMessages.CallRequest;
import sandstack.fleet.FleetMessages.CallResponse;

/**
 * Dispatches calls from other members to the registered handlers, on the fleet's thread. Handlers may be registered on
 * any thread.
 */
final class CallServer {
    private final ClusterClient clusterClient;
    private final Map<String, FleetMember.CallHandler> handlers = new ConcurrentHashMap<>();

    CallServer(ClusterClient clusterClient) {
        this.clusterClient = clusterClient;
    }

    void register(String kind, FleetMember.CallHandler handler) {
        handlers.put(kind, handler);
    }

    /**
     * Handles a call and sends the response.
     *
     * @param message the message that contained the request; the response goes to its sender
     */
    void handle(Message message, CallRequest request) {
        FleetMember.CallHandler handler = handlers.get(String.valueOf(request.kind()));
        if (handler == null) {
            respond(message, null, "nothing here takes calls of this kind");
        } else if (request.body() == null || request.body().length() > FleetMember.MAX_BODY_LENGTH) {
            respond(message, null, "a body longer than " + FleetMember.MAX_BODY_LENGTH);
        } else {
            // the callback responds to success and failure
            Futures.ignore(handler.handle(request.callerId(), request.body())
                    .whenComplete((body, failure) ->
                            respond(message, body, failure == null ? null : String.valueOf(failure.getMessage()))));
        }
    }

    private void respond(Message message, String body, String error) {
        CallResponse response = new CallResponse(FleetMessages.PROTOCOL_VERSION, body, error);
        clusterClient.respond(message, MessageJson.write(response));
    }
}
