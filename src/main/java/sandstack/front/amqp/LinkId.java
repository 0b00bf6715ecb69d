package sandstack.front.amqp;

/** Identity of a client's link: the client's container id, the link's name and its direction. */
record LinkId(String containerId, String name, boolean fromClient) {}
