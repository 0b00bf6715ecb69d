package sandstack.fleet.link;

import sandstack.fleet.FleetMessages;

/** Thrown for a message of a later protocol version than this build reads. */
final class UnsupportedVersionException extends MalformedFleetMessageException {
    private static final long serialVersionUID = 1L;

    UnsupportedVersionException(int version) {
        super("unsupported protocol version " + version + ", the latest supported one is "
                + FleetMessages.PROTOCOL_VERSION);
    }
}
