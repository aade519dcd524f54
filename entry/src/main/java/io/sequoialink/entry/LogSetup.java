package io.sequoialink.entry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/**
 * Sets up the log: lines of JSON on standard output, from a bounded queue.
 * {@link #quiet()} is called before anything else, {@link #configure(String)} once the
 * settings are read.
 */
final class LogSetup {

	private LogSetup() {
	}

	/**
	 * Keeps libraries from logging before the form of the lines is set.
	 */
	static void quiet() {
		((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)
			.setLevel(Level.ERROR);
	}

	static LogQueue configure(String host) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		LogQueue queue = new LogQueue(new FileOutputStream(FileDescriptor.out), new JsonLine(host), System::nanoTime);
		queue.setContext(context);
		queue.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		context.getLogger("io.netty").setLevel(Level.ERROR);
		root.addAppender(queue);
		return queue;
	}

}
