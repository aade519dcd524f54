package io.sequoialink.gateway.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A connection is told once how the writes under way have ended. Guards against an
 * attempt that is ended by each of the writes that fail together.
 */
class RequestWritesTests {

	@Test
	void theReceiverIsCalledOnce() {
		List<ChannelPromise> writes = new ArrayList<>();
		RequestWrites requests = new RequestWrites();
		EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
			@Override
			public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
				writes.add(promise);
			}
		}, requests);
		channel.write(Unpooled.EMPTY_BUFFER);
		channel.write(Unpooled.EMPTY_BUFFER);
		List<Optional<Throwable>> received = new ArrayList<>();
		requests.whenSettled(received::add);
		assertThat(received).isEmpty();
		IOException cause = new IOException("reset");
		writes.forEach((write) -> write.setFailure(cause));
		assertThat(received).containsExactly(Optional.of(cause));
	}

}
