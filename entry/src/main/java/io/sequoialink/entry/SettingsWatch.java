package io.sequoialink.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;

import io.sequoialink.gateway.GatewayEvents;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that the settings file has changed, with or without a signal. Confined to the
 * event loop. A file that can't be used leaves the settings as they are.
 */
final class SettingsWatch {

	/** Time between two looks at the file, in milliseconds. */
	static final long PERIOD_MILLIS = 1000;

	private static final Logger logger = LoggerFactory.getLogger(SettingsWatch.class);

	private final Path file;

	private final Consumer<EntrySettings> changed;

	private FileTime seen;

	/**
	 * Creates a watch; the file as it is now counts as seen.
	 * @param file path of the file
	 * @param changed takes the new settings
	 */
	SettingsWatch(Path file, Consumer<EntrySettings> changed) {
		this.file = file;
		this.changed = changed;
		this.seen = modified();
	}

	/**
	 * Reads the file if it has changed.
	 */
	void check() {
		FileTime now = modified();
		if (now != null && !now.equals(this.seen)) {
			this.seen = now;
			reload();
		}
	}

	/**
	 * Reads the file.
	 */
	void reload() {
		try {
			this.changed.accept(SettingsReader.read(this.file));
			logger.info(GatewayEvents.SETTINGS_TAKEN, this.file);
		}
		catch (SettingsException ex) {
			logger.warn(GatewayEvents.SETTINGS_REFUSED, ex.getMessage());
		}
	}

	private FileTime modified() {
		try {
			return Files.getLastModifiedTime(this.file);
		}
		catch (IOException ex) {
			logger.debug("settings file {} is not there at the moment", this.file, ex);
			return null;
		}
	}

}
