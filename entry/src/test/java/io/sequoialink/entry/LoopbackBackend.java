package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import io.sequoialink.soak.SimulatedStore;

/**
 * A backend server on loopback that is registered as ready in a store. Its handler runs
 * on any number of threads.
 */
final class LoopbackBackend implements AutoCloseable {

	private static final int BACKLOG = 50;

	private final HttpServer server;

	private LoopbackBackend(HttpServer server) {
		this.server = server;
	}

	/**
	 * Starts a server of service {@code svc} with eight slots.
	 * @param id identifier of the server
	 * @param store store in which it is registered
	 * @param handler answers requests
	 * @return the server, which listens
	 * @throws IOException if no port is free
	 */
	static LoopbackBackend start(String id, SimulatedStore store, HttpHandler handler) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
		server.setExecutor(Executors.newCachedThreadPool());
		server.createContext("/", handler);
		server.start();
		store.put("servers", id, "{\"service\":\"svc\",\"address\":\"127.0.0.1:" + server.getAddress().getPort()
				+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"born\":5}");
		return new LoopbackBackend(server);
	}

	/**
	 * Answers with a sealed, empty response.
	 * @param exchange the request
	 * @throws IOException if the connection is lost
	 */
	static void answer(HttpExchange exchange) throws IOException {
		exchange.getResponseHeaders().set("X-Sequoialink-Server-Seal", "s");
		String id = exchange.getRequestHeaders().getFirst("X-Sequoialink-Request-Id");
		exchange.getResponseHeaders().set("X-Sequoialink-Request-Id", id);
		exchange.sendResponseHeaders(200, -1);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
