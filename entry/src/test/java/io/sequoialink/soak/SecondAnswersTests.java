package io.sequoialink.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Second answers of a simulated server come after the first answer to their request, and
 * each at most once.
 */
class SecondAnswersTests {

	private final PromiseChecker checker = new PromiseChecker(new DisturbanceTracker(System::nanoTime),
			System::nanoTime);

	// Guards against a server that writes its second answer first, or none at all, so
	// that the soak could not see a host that hands it on.
	@ParameterizedTest
	@CsvSource({ "pair, 200, 4, 28", "pair, 500, 4, 28", "pair, 504, 4, 28", "app, 500, 4, 28", "app, 200, 0, 10" })
	@Timeout(20)
	void secondAnswersFollowTheirFirst(String service, int status, int least, int most) throws IOException {
		SecondAnswers answers = new SecondAnswers(service, 7, this.checker);
		String written;
		try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				Socket client = new Socket(listening.getInetAddress(), listening.getLocalPort())) {
			try (Socket server = listening.accept()) {
				for (int i = 10; i < 42; i++) {
					answers.write(server, status, "[" + i + ']', "(" + i + ')');
				}
			}
			written = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
		List<String> first = Pattern.compile("\\[\\d+]")
			.matcher(written)
			.results()
			.map((found) -> found.group())
			.toList();
		List<String> second = Pattern.compile("\\(\\d+\\)")
			.matcher(written)
			.results()
			.map((found) -> found.group())
			.toList();
		assertThat(first).hasSize(32).isSorted();
		assertThat(second).hasSizeBetween(least, most).isSorted().doesNotHaveDuplicates();
		assertThat(second).allMatch(
				(answer) -> written.matches(".*\\[" + answer.substring(1, 3) + "]" + Pattern.quote(answer) + ".*"));
	}

}
