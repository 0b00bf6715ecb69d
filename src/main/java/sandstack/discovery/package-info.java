/**
 * The discovery watch over HTTP: splits the streamed response into JSON objects and passes the endpoint list updates to
 * the relay. Runs on the event loop's thread; uses {@code net}, {@code config} and {@code core}.
 */
package sandstack.discovery;
