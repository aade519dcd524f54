package io.sequoialink.daemon.host;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.sequoialink.catalogue.LogCatalogue;
import io.sequoialink.catalogue.PeerTail;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.Json;
import io.sequoialink.remote.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes the tail of the configuration stream from peers while this host can't read the
 * log, and serves peers that can't. Thread-safe.
 */
final class TailExchange {

	/** The age of the own view above which peers are asked. */
	static final Duration ASK_AFTER = Duration.ofSeconds(1);

	private static final Logger LOG = LoggerFactory.getLogger(TailExchange.class);

	private static final String ASK = "tail-ask";

	private static final String ANSWER = "tail-answer";

	private static final int PEERS_A_TURN = 2;

	private static final int MAX_RECORDS = 64;

	/**
	 * Kept free in a payload for its encoding, as a share of one: base64 adds a third.
	 */
	private static final int MAX_RECORD_BYTES = Peers.MAX_PAYLOAD_BYTES / 2;

	private final Peers peers;

	private final LogCatalogue catalogue;

	private final Random random;

	TailExchange(Peers peers, LogCatalogue catalogue, long seed) {
		this.peers = peers;
		this.catalogue = catalogue;
		this.random = new Random(seed);
		peers.subscribe(ASK, this::answer);
		peers.subscribe(ANSWER, this::receive);
	}

	void askIfStale() {
		if (this.catalogue.age().compareTo(ASK_AFTER) <= 0) {
			return;
		}
		List<Member> others = new ArrayList<>(this.peers.members());
		others.removeIf((member) -> member.host().equals(this.peers.self().host()));
		Collections.shuffle(others, this.random);
		byte[] question = bytes(
				new Question(this.catalogue.wantedFromPeer(), System.nanoTime(), this.peers.self().incarnation()));
		this.peers.send(ASK, question, others.subList(0, Math.min(PEERS_A_TURN, others.size())));
	}

	private void answer(Peers.PeerMessage message) {
		try {
			Question question = Json.mapper().readValue(message.payload(), Question.class);
			PeerTail tail = this.catalogue.recordsSince(question.wanted(), MAX_RECORDS);
			PeerTail sent = new PeerTail(bounded(tail.records()), tail.next(), tail.age());
			this.peers.send(ANSWER, bytes(new Answer(sent, question)), List.of(message.sender()));
		}
		catch (IOException ex) {
			LOG.warn(HostEvents.PEER_PAYLOAD_REFUSED, ASK, message.sender().host());
		}
	}

	private void receive(Peers.PeerMessage message) {
		try {
			Answer answer = Json.mapper().readValue(message.payload(), Answer.class);
			if (answer.question().incarnation() == this.peers.self().incarnation()) {
				this.catalogue.acceptFromPeer(answer.tail(), answer.question().askedNanos());
			}
		}
		catch (IOException ex) {
			LOG.warn(HostEvents.PEER_PAYLOAD_REFUSED, ANSWER, message.sender().host());
		}
	}

	private static List<LogRecord> bounded(List<LogRecord> records) {
		int bytes = 0;
		int count = 0;
		for (LogRecord record : records) {
			bytes += record.payload().length;
			if (bytes > MAX_RECORD_BYTES) {
				break;
			}
			count++;
		}
		return records.subList(0, count);
	}

	private static byte[] bytes(Object value) {
		return Json.write(value).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Asks for records. Immutable and thread-safe.
	 *
	 * @param wanted the first wanted offset
	 * @param askedNanos when it was asked, by the asking process's monotonic clock
	 * @param incarnation the asking process, so that its successor at the same address
	 * does not take a time of another clock for its own
	 */
	private record Question(long wanted, long askedNanos, long incarnation) {
	}

	private record Answer(PeerTail tail, Question question) {
	}

}
