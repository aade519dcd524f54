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
 * Reloads the settings file when its modification time changes or on request. Confined to
 * the event loop. If the new file is missing or invalid, the settings stay as they are.
 */
final class SettingsFileWatcher {

	/** Time between two checks of the file, in milliseconds. */
	static final long CHECK_PERIOD_MILLIS = 1000;

	private static final Logger logger = LoggerFactory.getLogger(SettingsFileWatcher.class);

	private final Path file;

	private final Consumer<EntrySettings> listener;

	private FileTime lastModified;

	/**
	 * Creates a watcher; the present contents of the file count as loaded.
	 * @param file path of the file
	 * @param listener receives the new settings
	 */
	SettingsFileWatcher(Path file, Consumer<EntrySettings> listener) {
		this.file = file;
		this.listener = listener;
		this.lastModified = readLastModified();
	}

	/**
	 * Reloads the file if its modification time has changed.
	 */
	void reloadIfModified() {
		FileTime now = readLastModified();
		if (now != null && !now.equals(this.lastModified)) {
			this.lastModified = now;
			reload();
		}
	}

	/**
	 * Reloads the file, changed or not.
	 */
	void reload() {
		try {
			this.listener.accept(SettingsReader.read(this.file));
			logger.info(GatewayEvents.SETTINGS_TAKEN, this.file);
		}
		catch (SettingsException ex) {
			logger.warn(GatewayEvents.SETTINGS_REFUSED, ex.getMessage());
		}
	}

	private FileTime readLastModified() {
		try {
			return Files.getLastModifiedTime(this.file);
		}
		catch (IOException ex) {
			logger.debug("settings file {} cannot be accessed at the moment", this.file, ex);
			return null;
		}
	}

}
