package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the events of one attempt. Called on the event loop. After
 * {@link #completed()} or {@link #failed(AttemptFailure)} no other method is called.
 */
interface ResponseListener {

	/**
	 * Asks, once a connection is established, whether the request should still be written
	 * to it.
	 * @return whether to write the request
	 */
	boolean mayWrite();

	/**
	 * The request has been written to a connection.
	 */
	void written();

	/**
	 * The head of a response to another request has arrived, or of one that can't be
	 * attributed; the response is discarded.
	 * @param status status code
	 * @param metadata metadata of the response
	 */
	void lateHead(int status, ResponseMetadata metadata);

	/**
	 * The head of the response has arrived.
	 * @param status status code
	 * @param headers headers as the server sent them
	 * @param metadata metadata of the response
	 */
	void head(int status, HttpHeaders headers, ResponseMetadata metadata);

	/**
	 * Bytes of the response's body have arrived.
	 * @param data the bytes; ownership passes to the listener
	 */
	void data(ByteBuf data);

	/**
	 * The response is complete.
	 */
	void completed();

	/**
	 * The attempt ended without a complete response.
	 * @param failure how it ended
	 */
	void failed(AttemptFailure failure);

}
