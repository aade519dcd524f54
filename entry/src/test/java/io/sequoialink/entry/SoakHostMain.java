package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * Main class of the hosts of the soak: an entry host that reaches each server by a
 * loopback address of its own, so that the paths of one host can be cut.
 */
public final class SoakHostMain {

	private SoakHostMain() {
	}

	/**
	 * Starts the host.
	 * @param arguments loopback address by which it reaches servers, and path of the
	 * settings file
	 * @throws Exception if the host cannot start
	 */
	public static void main(String[] arguments) throws Exception {
		InetAddress paths = InetAddress.getByName(arguments[0]);
		LogConfiguration.suppressLogging();
		try {
			EntryMain.start(Path.of(arguments[1]), null,
					(settings) -> new EntryHost(settings, (server) -> new InetSocketAddress(paths, server.getPort())));
		}
		catch (IOException ex) {
			System.err.println("cannot listen on the client address: " + ex.getMessage());
			System.exit(1);
		}
	}

}
