/**
 * The front (network side) of the operators' port: one command per connection, answered from the state of the relay.
 * Uses {@code core} and {@code net}, which do not depend on it.
 */
package sandstack.front.operators;
