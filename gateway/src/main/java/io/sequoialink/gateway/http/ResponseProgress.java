package io.sequoialink.gateway.http;

/**
 * How far the response of an attempt has got.
 */
enum ResponseProgress {

	/** Nothing of it has come. */
	NOTHING,

	/** Its head has come, but not enough to say that the server goes on with it. */
	HEAD,

	/** The server goes on with it, or has completed it. */
	BEGUN

}
