package io.sequoialink.entry;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BoundedLogAppenderTests {

	private final AtomicLong now = new AtomicLong(1);

	private final LoggerContext context = new LoggerContext();

	private final Logger logger = this.context.getLogger("test");

	@Test
	void writesJsonLineWithEventNumber() throws Exception {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		BoundedLogAppender appender = startAppender(output);
		this.logger.warn("SL-3101 request {} \"quoted\"\n{}", "r1", "next");
		appender.flush(2000);
		JsonNode line = new ObjectMapper().readTree(output.toString(StandardCharsets.UTF_8));
		assertThat(line.path("event").asText()).isEqualTo("SL-3101");
		assertThat(line.path("host").asText()).isEqualTo("h1");
		assertThat(line.path("level").asText()).isEqualTo("WARN");
		assertThat(line.path("text").asText()).isEqualTo("request r1 \"quoted\" next");
	}

	@Test
	void dropsExcessInfoLinesFirstAndCountsThem() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		BoundedLogAppender appender = startAppender(output);
		for (int i = 0; i < 500; i++) {
			this.logger.info("SL-3101 answered");
		}
		this.logger.warn("SL-3101 failed");
		appender.flush(2000);
		String text = output.toString(StandardCharsets.UTF_8);
		assertThat(text.lines().filter((line) -> line.contains("answered")))
			.hasSize(BoundedLogAppender.MAX_INFO_LINES_PER_SECOND);
		assertThat(text).contains("failed").contains("SL-3008").contains("350 log lines were dropped");
	}

	@Test
	void resetsRateLimitEachSecond() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		BoundedLogAppender appender = startAppender(output);
		for (int i = 0; i < 300; i++) {
			this.logger.info("SL-3101 first");
		}
		this.now.addAndGet(1_000_000_000L);
		this.logger.info("SL-3101 second");
		appender.flush(2000);
		assertThat(output.toString(StandardCharsets.UTF_8)).contains("second");
	}

	@Test
	void appendNeverBlocksWhenOutputIsStuck() throws Exception {
		CountDownLatch release = new CountDownLatch(1);
		OutputStream blockedOutput = new OutputStream() {
			@Override
			public void write(int next) {
				try {
					release.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		};
		BoundedLogAppender appender = startAppender(blockedOutput);
		long began = System.nanoTime();
		for (int i = 0; i < 20_000; i++) {
			this.now.addAndGet(10_000_000L);
			this.logger.warn("SL-3101 line {}", i);
		}
		assertThat((System.nanoTime() - began) / 1_000_000).as("milliseconds for 20,000 lines").isLessThan(2000);
		appender.flush(50);
		release.countDown();
	}

	private BoundedLogAppender startAppender(OutputStream output) {
		BoundedLogAppender appender = new BoundedLogAppender(output, new JsonLogFormatter("h1"), this.now::get);
		appender.setContext(this.context);
		appender.start();
		this.logger.setLevel(Level.INFO);
		this.logger.addAppender(appender);
		return appender;
	}

}
