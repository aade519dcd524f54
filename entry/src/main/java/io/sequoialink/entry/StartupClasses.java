package io.sequoialink.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Loads the classes that a start needs, so that the build can put them into the archive
 * of classes (AppCDS) and a restart need not read and verify them again. The list of
 * classes was recorded from a run; classes that no longer exist are skipped.
 */
final class StartupClasses {

	private static final String LIST = "startup-classes.txt";

	private StartupClasses() {
	}

	/**
	 * Loads the listed classes without running their static initialisers.
	 * @return number of loaded classes
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
			throw new UncheckedIOException("cannot read the list of start-up classes", ex);
		}
		return loaded;
	}

	private static boolean load(String name) {
		try {
			Class.forName(name, false, StartupClasses.class.getClassLoader());
			return true;
		}
		catch (ClassNotFoundException | LinkageError ex) {
			System.err.println("class not archived: " + ex);
			return false;
		}
	}

}
