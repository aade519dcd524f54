package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoialink.decision.limits.NamedLimit;
import io.sequoialink.gateway.place.ResponseNotice;

/**
 * A mapping to short header names.
 */
final class TestHeaderMapping implements HeaderMapping {

	@Override
	public RequestMetadata readRequest(HttpHeaders headers) {
		List<PromptPart> prompt = new ArrayList<>();
		text(headers, "prompt").ifPresent((parts) -> {
			for (String part : parts.split(",")) {
				prompt.add(new PromptPart(Long.parseUnsignedLong(part, 16), 10));
			}
		});
		return new RequestMetadata(text(headers, "id"), text(headers, "key"), number(headers, "deadline"),
				text(headers, "model"), 0, 0, number(headers, "length-hint"), prompt, text(headers, "session"),
				text(headers, "last-event-id"));
	}

	@Override
	public void writeForwarding(HttpHeaders headers, ForwardingMetadata metadata) {
		headers.remove("key");
		headers.set("server", metadata.server());
		headers.set("deadline", metadata.remainingMillis());
		metadata.account().ifPresent((account) -> headers.set("account", account));
		metadata.model().ifPresent((model) -> headers.set("model", model));
		metadata.lastEvent().ifPresent((event) -> headers.set("last-event-id", event));
	}

	@Override
	public ResponseMetadata readResponse(HttpHeaders headers) {
		return new ResponseMetadata(text(headers, "id"), Optional.ofNullable(headers.get("seal")),
				headers.contains("not-run"), load(headers), headers.contains("bad-load"), number(headers, "confidence"),
				new ResponseNotice("1".equals(headers.get("leaving")),
						number(headers, "spare").stream().asLongStream().findFirst()),
				headers.contains("limit") ? NamedLimit.of(Double.parseDouble(headers.get("limit"))) : NamedLimit.ABSENT,
				headers.contains("brittle") ? OptionalDouble.of(Double.parseDouble(headers.get("brittle")))
						: OptionalDouble.empty(),
				number(headers, "cold").stream().asLongStream().findFirst());
	}

	@Override
	public void writeLocalResponse(HttpHeaders headers, String id) {
		headers.set("id", id);
	}

	@Override
	public String readinessPath() {
		return "/ready";
	}

	private static Optional<String> text(HttpHeaders headers, String name) {
		return Optional.ofNullable(headers.get(name));
	}

	private static OptionalInt number(HttpHeaders headers, String name) {
		String text = headers.get(name);
		return (text != null) ? OptionalInt.of(Integer.parseInt(text)) : OptionalInt.empty();
	}

	private static Optional<ServerLoad> load(HttpHeaders headers) {
		OptionalInt slowdown = number(headers, "slowdown");
		Optional<String> stated = text(headers, "load")
			.or(() -> slowdown.isPresent() ? Optional.of("1,0,8") : Optional.empty());
		return stated.map((text) -> text.split(","))
			.map((part) -> new ServerLoad(Integer.parseInt(part[0]), Integer.parseInt(part[1]),
					Integer.parseInt(part[2]), slowdown));
	}

}
