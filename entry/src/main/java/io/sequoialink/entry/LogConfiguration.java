package io.sequoialink.entry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/**
 * Configures logging: JSON lines on standard output through a bounded queue.
 * {@link #suppressLogging()} is called first at start, {@link #configure(String)} once
 * the settings are read.
 */
final class LogConfiguration {

	private LogConfiguration() {
	}

	/**
	 * Suppresses all lines below level error, so that libraries write no unformatted
	 * lines before {@link #configure(String)} is called.
	 */
	static void suppressLogging() {
		((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)
			.setLevel(Level.ERROR);
	}

	static BoundedLogAppender configure(String host) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		BoundedLogAppender appender = new BoundedLogAppender(new FileOutputStream(FileDescriptor.out),
				new JsonLogFormatter(host), System::nanoTime);
		appender.setContext(context);
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		context.getLogger("io.netty").setLevel(Level.ERROR);
		root.addAppender(appender);
		return appender;
	}

}
