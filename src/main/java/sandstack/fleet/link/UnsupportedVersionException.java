package sandstack.fleet.link;

import sandstack.fleet.FleetMessages;

/** A message of a later protocol version than this build reads. */
final class UnsupportedVersionException extends MalformedMessageException {
    private static final long serialVersionUID = 1L;

    UnsupportedVersionException(int version) {
        super("unsupported protocol version " + version + ", supported are up to " + FleetMessages.PROTOCOL_VERSION);
    }
}
