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

class LogQueueTests {

	private final AtomicLong now = new AtomicLong(1);

	private final LoggerContext context = new LoggerContext();

	private final Logger logger = this.context.getLogger("test");

	@Test
	void aLineIsJsonWithTheNumberOfItsEvent() throws Exception {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		LogQueue queue = queue(output);
		this.logger.warn("SL-3101 request {} \"quoted\"\n{}", "r1", "next");
		queue.flush(2000);
		JsonNode line = new ObjectMapper().readTree(output.toString(StandardCharsets.UTF_8));
		assertThat(line.path("event").asText()).isEqualTo("SL-3101");
		assertThat(line.path("host").asText()).isEqualTo("h1");
		assertThat(line.path("level").asText()).isEqualTo("WARN");
		assertThat(line.path("text").asText()).isEqualTo("request r1 \"quoted\" next");
	}

	@Test
	void linesAboutWhatWentWellAreDroppedFirstAndCounted() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		LogQueue queue = queue(output);
		for (int i = 0; i < 500; i++) {
			this.logger.info("SL-3101 well");
		}
		this.logger.warn("SL-3101 failed");
		queue.flush(2000);
		String text = output.toString(StandardCharsets.UTF_8);
		assertThat(text.lines().filter((line) -> line.contains("well"))).hasSize(LogQueue.MAX_INFO_A_SECOND);
		assertThat(text).contains("failed").contains("SL-3008").contains("350 log lines were dropped");
	}

	@Test
	void theNextSecondHasRoomAgain() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		LogQueue queue = queue(output);
		for (int i = 0; i < 300; i++) {
			this.logger.info("SL-3101 first");
		}
		this.now.addAndGet(1_000_000_000L);
		this.logger.info("SL-3101 second");
		queue.flush(2000);
		assertThat(output.toString(StandardCharsets.UTF_8)).contains("second");
	}

	@Test
	void nobodyWaitsForAStuckReader() throws Exception {
		CountDownLatch stuck = new CountDownLatch(1);
		OutputStream never = new OutputStream() {
			@Override
			public void write(int next) {
				try {
					stuck.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		};
		LogQueue queue = queue(never);
		long began = System.nanoTime();
		for (int i = 0; i < 20_000; i++) {
			this.now.addAndGet(10_000_000L);
			this.logger.warn("SL-3101 line {}", i);
		}
		assertThat((System.nanoTime() - began) / 1_000_000).as("milliseconds for 20,000 lines").isLessThan(2000);
		queue.flush(50);
		stuck.countDown();
	}

	private LogQueue queue(OutputStream output) {
		LogQueue queue = new LogQueue(output, new JsonLine("h1"), this.now::get);
		queue.setContext(this.context);
		queue.start();
		this.logger.setLevel(Level.INFO);
		this.logger.addAppender(queue);
		return queue;
	}

}
