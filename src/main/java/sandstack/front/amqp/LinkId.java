package sandstack.front.amqp;

/**
 * Identifies a client's link across its connections.
 *
 * @param containerId the client's container id
 * @param name the link's name
 * @param fromClient whether the client is the sender
 */
record LinkId(String containerId, String name, boolean fromClient) {}
