package io.sequoialink.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import io.sequoialink.daemon.settings.LoggingSettings;
import org.slf4j.LoggerFactory;

/**
 * Applies the log level and the output format (plain text or JSON lines) of the settings
 * to Logback. Called once, before a host starts.
 */
final class LogbackConfigurer {

	private static final String APPENDER = "STDERR";

	private LogbackConfigurer() {
	}

	static void configure(LoggingSettings settings) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.valueOf(settings.level().name()));
		if (settings.format() == LoggingSettings.Format.JSON) {
			useJson(context, root);
		}
	}

	private static void useJson(LoggerContext context, Logger root) {
		ConsoleAppender<ILoggingEvent> appender = (ConsoleAppender<ILoggingEvent>) root.getAppender(APPENDER);
		JsonEncoder encoder = new JsonEncoder();
		encoder.setContext(context);
		encoder.setWithFormattedMessage(true);
		encoder.start();
		appender.stop();
		appender.setEncoder(encoder);
		appender.start();
	}

}
