package sandstack.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.Set;

/**
 * The messages between members, independent of the transport. Each carries the protocol version of its sender. The JSON
 * names are part of the protocol and do not follow the names of the components.
 */
public final class FleetMessages {
    /** The protocol version of this build; messages of later versions are rejected. */
    public static final int PROTOCOL_VERSION = 1;

    private FleetMessages() {}

    /**
     * A periodic probe: checks that the recipient responds, and requests its state if that has changed.
     *
     * @param senderId incarnation id of the sender
     * @param senderName relay name of the sender
     * @param knownVersion latest version of the recipient's state that the sender has received
     * @param ownsName whether the sender owns its relay name, see {@link Membership#ownsName}
     */
    public record ProbeRequest(
            @JsonProperty("v") int protocolVersion,
            @JsonProperty("from") String senderId,
            @JsonProperty("name") String senderName,
            @JsonProperty("has") long knownVersion,
            @JsonProperty("settled") boolean ownsName) {}

    /**
     * The response to a {@link ProbeRequest}.
     *
     * @param id incarnation id of the responder
     * @param name relay name of the responder
     * @param state state of the responder; null if the requester has the current version
     * @param ownsName whether the responder owns its relay name, see {@link Membership#ownsName}
     */
    public record ProbeResponse(
            @JsonProperty("v") int protocolVersion,
            @JsonProperty("id") String id,
            @JsonProperty("name") String name,
            @JsonProperty("news") MemberState state,
            @JsonProperty("settled") boolean ownsName) {}

    /**
     * The complete state that a member publishes.
     *
     * @param version incremented by each change
     * @param values the published values
     * @param reachable ids of the members that it reaches directly
     * @param unreachable ids of the members whose probes time out; members in neither set have too few probe results
     *     yet
     */
    public record MemberState(
            @JsonProperty("number") long version,
            @JsonProperty("values") Map<String, String> values,
            @JsonProperty("reached") Set<String> reachable,
            @JsonProperty("unreached") Set<String> unreachable) {
        /** Maximum size of each set, well above the number of members that the library supports. */
        static final int MAX_IDS = 1_000;

        /**
         * Copies the collections; null is read as an empty collection.
         *
         * @throws IllegalArgumentException if a set has more than {@link #MAX_IDS} ids
         */
        public MemberState {
            values = values == null ? Map.of() : Map.copyOf(values);
            reachable = reachable == null ? Set.of() : Set.copyOf(reachable);
            unreachable = unreachable == null ? Set.of() : Set.copyOf(unreachable);
            if (reachable.size() > MAX_IDS || unreachable.size() > MAX_IDS) {
                throw new IllegalArgumentException("more than " + MAX_IDS + " members in one list");
            }
        }
    }

    /**
     * A member's state, disseminated by gossip.
     *
     * @param id incarnation id of the member
     * @param incarnation the member itself, for recipients whose library has not discovered it; null if the sender does
     *     not include it
     */
    public record StateGossip(
            @JsonProperty("v") int protocolVersion,
            @JsonProperty("id") String id,
            @JsonProperty("news") MemberState state,
            @JsonProperty("life") Incarnation incarnation) {}

    /**
     * A remote call from one member to another.
     *
     * @param callerId incarnation id of the caller
     * @param kind selects the handler; only the handler interprets the body
     */
    public record CallRequest(
            @JsonProperty("v") int protocolVersion,
            @JsonProperty("from") String callerId,
            @JsonProperty("kind") String kind,
            @JsonProperty("body") String body) {}

    /**
     * The response to a {@link CallRequest}.
     *
     * @param body null if the call failed
     * @param error null if the call succeeded
     */
    public record CallResponse(
            @JsonProperty("v") int protocolVersion,
            @JsonProperty("body") String body,
            @JsonProperty("error") String error) {}
}
