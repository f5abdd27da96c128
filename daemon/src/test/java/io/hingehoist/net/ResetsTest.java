package io.hingehoist.net;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;

public final class ResetsTest {

  @Test
  public void aChannelWithAClosedSocketCanBeReset() throws Exception {
    AtomicReference<Throwable> failure = new AtomicReference<>();
    try (EventLoop loop = EventLoop.start(failure::set)) {
      SocketChannel socket = SocketChannel.open();
      NioSocketChannel channel = new NioSocketChannel(null, socket);
      loop.group().register(channel).sync();
      socket.close();
      CompletableFuture<Boolean> done = new CompletableFuture<>();
      loop.execute(
          () -> {
            Resets.reset(channel);
            done.complete(channel.isActive());
          });
      assertFalse(done.get(10, TimeUnit.SECONDS));
      assertNull(failure.get());
    }
  }
}
