package io.hingehoist.net;

import static org.testng.Assert.assertFalse;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;
import org.testng.annotations.Test;

public final class ResetsTest {

  @Test
  public void aConnectionThatIsClosedBelowCanBeReset() throws Exception {
    SocketChannel below = SocketChannel.open();
    NioSocketChannel channel = new NioSocketChannel(null, below);
    below.close();
    Resets.reset(channel);
    assertFalse(channel.isActive());
  }
}
