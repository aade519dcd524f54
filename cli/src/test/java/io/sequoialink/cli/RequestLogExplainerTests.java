package io.sequoialink.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stories told from lines as the entry hosts of a bench day wrote them.
 */
class RequestLogExplainerTests {

	private static final String LINES = """
			0.41 host-b {"time":"2026-02-23T13:48:09.402Z","level":"INFO","host":"b","event":"SL-3205","text":"server i-2 of s: draining, version v1, slots 6"}
			0.36 host-b {"time":"2026-02-23T13:48:09.302Z","level":"INFO","host":"b","event":"SL-3102","text":"request r1 send 1 to i-1 ended: ABORTED after 41 ms"}
			not a line of ours
			0.47 host-b {"time":"2026-02-23T13:48:09.502Z","level":"WARN","host":"b","event":"SL-3101","text":"request r1 of account acme on route r-a ended with 502: run UNKNOWN, sends 2, server i-2/v1, 120 ms: outcome unknown (server i-2: ABORTED)"}
			0.30 host-a {"time":"2026-02-23T13:48:09.300Z","level":"WARN","host":"a","event":"SL-3101","text":"request r10 of account acme on route r-a ended with 503: run NO, sends 0, server none, 1 ms: not run (no server of s for versions ANY)"}
			0.20 host-a {"time":"2026-02-23T13:48:09.200Z","level":"WARN","host":"a","event":"SL-3203","text":"servers could not be read for 900 ms: status 503"}
			0.61 host-a {"time":"2026-02-23T13:48:50.300Z","level":"INFO","host":"a","event":"SL-3104","text":"request r7: answer of m0 with opinion 9 dropped for m2"}
			0.71 host-a {"time":"2026-02-23T13:49:00.300Z","level":"INFO","host":"a","event":"SL-3001","text":"host a in availability zone z accepts clients at /10.3.0.4:8660 and readiness probes at /10.3.0.4:8667"}
			0.80 host-c {"time":"2026-02-23T13:48:20.100Z","level":"INFO","host":"c","event":"SL-3109","text":"server i-9 takes 1.1 requests a second from all hosts together, reported by host d, 12 ms old; this host issues 1 of 4 shares among 6 hosts"}
			0.81 host-c {"time":"2026-02-23T13:48:20.300Z","level":"INFO","host":"c","event":"SL-3110","text":"request r9 and limited server i-9: no permit, longest wait 111 ms, next permit in 840 ms"}
			0.82 host-c {"time":"2026-02-23T13:48:20.301Z","level":"WARN","host":"c","event":"SL-3101","text":"request r9 of account acme on route r-a ended with 503: run NO, sends 0, server none, 3 ms: not run (no server of s for versions ANY, its servers take 1.1 requests a second)"}
			0.31 host-a {"time":"2026-02-23T13:48:08.300Z","level":"INFO","host":"a","event":"SL-3104","text":"request r10: answer of m0 with opinion 7 dropped for m2"}
			""";

	@Test
	void anUnknownOutcomeIsToldWithEachSendAndWhatBecameOfItsServers() throws IOException {
		List<String> story = story("r1");
		assertThat(story).hasSize(3);
		assertThat(story.get(0)).contains("send 1 to server i-1 ended after 41 ms: ABORTED.");
		assertThat(story.get(1)).contains("ended with status 502")
			.contains("It may have been run")
			.contains("Cause: outcome unknown (server i-2: ABORTED).");
		assertThat(story.get(2)).contains("shortly before: server i-2 of s: draining");
	}

	@Test
	void aRefusalIsToldWithTheStateOfTheStore() throws IOException {
		List<String> story = story("r10");
		assertThat(story.get(0)).contains("model m0 was given up for model m2").contains("7 of 100");
		assertThat(story.get(1)).contains("It was not run").contains("no server of s");
		assertThat(story.get(2)).contains("servers could not be read");
	}

	@Test
	void aRejectionForALimitIsToldWithTheServersThatNamedIt() throws IOException {
		List<String> story = story("r9");
		assertThat(story.get(0)).contains("server i-9 takes a limited number of requests: no permit")
			.contains("next permit in 840 ms");
		assertThat(story.get(1)).contains("It was not run").contains("its servers take 1.1 requests a second");
		assertThat(story.get(2)).contains("shortly before: server i-9 takes 1.1 requests a second");
	}

	@Test
	void aRequestThatWasCutOffWithItsHostIsToldByTheHostsNextStart() throws IOException {
		List<String> story = story("r7");
		assertThat(story.get(1)).contains("13:49:00").contains("there is no final line").contains("started again");
	}

	@Test
	void anUnknownRequestHasNoStory() throws IOException {
		assertThat(story("r")).isEmpty();
	}

	private static List<String> story(String request) throws IOException {
		RequestLogExplainer story = new RequestLogExplainer(request);
		story.read(new BufferedReader(new StringReader(LINES)));
		return story.describe();
	}

}
