package io.sequoialink.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Loads the classes that a start needs, so that the build can archive them and a restart
 * need not read and verify them again. Stateless. The list was written down from a run; a
 * class that is no longer there is left out.
 */
final class StartupClasses {

	private static final String LIST = "startup-classes.txt";

	private StartupClasses() {
	}

	/**
	 * Loads the classes without running their initialisers.
	 * @return how many were loaded
	 */
	static int load() {
		int loaded = 0;
		try (InputStream list = StartupClasses.class.getResourceAsStream(LIST);
				BufferedReader names = new BufferedReader(new InputStreamReader(list, StandardCharsets.UTF_8))) {
			for (String name = names.readLine(); name != null; name = names.readLine()) {
				loaded += load(name) ? 1 : 0;
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the list of classes can't be read", ex);
		}
		return loaded;
	}

	private static boolean load(String name) {
		try {
			Class.forName(name, false, StartupClasses.class.getClassLoader());
			return true;
		}
		catch (ClassNotFoundException | LinkageError ex) {
			System.err.println("not archived: " + ex);
			return false;
		}
	}

}
