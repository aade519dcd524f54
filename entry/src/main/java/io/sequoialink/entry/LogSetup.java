package io.sequoialink.entry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;

/**
 * Sets up the log: lines on standard output, written by a thread of their own from a
 * bounded queue. Called once, before anything is logged.
 */
final class LogSetup {

	private static final int QUEUE_LINES = 2048;

	private LogSetup() {
	}

	static void configure() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setPattern("%d{HH:mm:ss.SSS} %level %msg%n");
		encoder.start();
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setEncoder(encoder);
		console.start();
		AsyncAppender queue = new AsyncAppender();
		queue.setContext(context);
		queue.setQueueSize(QUEUE_LINES);
		queue.setNeverBlock(true);
		queue.addAppender(console);
		queue.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		context.getLogger("io.netty").setLevel(Level.ERROR);
		root.addAppender(queue);
	}

}
