package io.hingehoist.quorum;

import static org.testng.Assert.assertTrue;

import io.hingehoist.adapter.OperatorCommands.Result;
import io.hingehoist.journal.Disk;
import io.hingehoist.journal.Journal;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.message.Announce;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.Hello;
import io.hingehoist.message.Message;
import io.hingehoist.message.Peer;
import io.hingehoist.message.Role;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.settings.ControlSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.wire.FrameConnection;
import io.hingehoist.wire.FrameHandler;
import io.hingehoist.wire.FreeAddresses;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests publishing a document of 450 KB while an owner follows. If five replicas sent it whole, it
 * would delay heartbeats and orders by a second on an entry box's link of 17 Mbit/s.
 */
public final class LargeDocumentTest {
  private static final int DOCUMENT_BYTES = 450_000;

  /** About 7 ms on a link of 17 Mbit/s, the longest acceptable delay of a heartbeat. */
  private static final int MAX_MESSAGE_BYTES = 16_000;

  private static final long TIMEOUT_SECONDS = 30;

  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private EventLoop loop;
  private ControlNode replica;
  private String address;

  @BeforeMethod
  public void start() throws IOException {
    Path folder = Files.createTempDirectory(Path.of("target"), "large-document");
    address = FreeAddresses.next();
    loop = EventLoop.start(Throwable::printStackTrace);
    Journal.found(folder, Disk.real(), "c", address, 1);
    replica =
        ControlNode.start(
            NodeSection.from(
                SettingsValues.of(
                    NodeSection.SPECS,
                    Map.of(
                        "nodeId",
                        "r",
                        "roles",
                        "control",
                        "zone",
                        "z",
                        "controlAddresses",
                        address,
                        "peerPort",
                        address.substring(address.indexOf(':') + 1),
                        "dataFolder",
                        folder.toString()))),
            ControlSection.from(
                SettingsValues.of(ControlSection.SPECS, Map.of("listenAddress", address))),
            Disk.real(),
            ConnectionLimits.ofPeers(),
            Metrics.create(),
            Thread.ofVirtual().factory(),
            Optional.empty(),
            Throwable::printStackTrace);
  }

  @AfterMethod
  public void stop() {
    replica.close();
    loop.close();
  }

  private void publish(long version) throws Exception {
    long startedAtNanos = System.nanoTime();
    while (System.nanoTime() - startedAtNanos < TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
      CompletableFuture<Result> result = new CompletableFuture<>();
      loop.execute(
          () ->
              LocalOperatorCommands.of(replica, loop, "configuration")
                  .publish(version, Bytes.copyOf(new byte[DOCUMENT_BYTES]), result::complete));
      if (result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) instanceof Result.Accepted) {
        return;
      }
    }
    throw new AssertionError("no definite result of publishing version " + version);
  }

  private FrameConnection follow() throws IOException {
    String host = address.substring(0, address.indexOf(':'));
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    FrameHandler handler =
        new FrameHandler() {
          @Override
          public void onMessage(FrameConnection connection, Message message) {
            received.add(message);
          }

          @Override
          public void onClosed(FrameConnection connection) {}
        };
    FrameConnection connection =
        FrameConnection.start(
            new Socket(host, port), handler, Metrics.create(), Thread.ofVirtual().factory(), 100);
    connection.send(new Hello(Role.ENTRY, "o", 1, "", FrameConnection.PROTOCOL_VERSION));
    connection.send(new Announce(new Peer("o", Role.ENTRY, "127.0.0.1:1", 1, "z"), List.of(), 0));
    return connection;
  }

  /** Returns the next message about the document. */
  private Message nextDocumentMessage() throws InterruptedException {
    Message message;
    do {
      message = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertTrue(message != null, "no message about the document from the replica");
    } while (!message.getClass().getSimpleName().startsWith("Document"));
    return message;
  }

  @Test
  public void aLargeDocumentDoesNotDelayHeartbeats() throws Exception {
    publish(1);
    try (FrameConnection owner = follow()) {
      assertTrue(owner.isOpen());
      int firstBytes = nextDocumentMessage().toBytes().size();
      assertTrue(firstBytes <= MAX_MESSAGE_BYTES, "a new owner was sent " + firstBytes + " bytes");
      publish(2);
      int changeBytes = nextDocumentMessage().toBytes().size();
      assertTrue(changeBytes <= MAX_MESSAGE_BYTES, "a change took " + changeBytes + " bytes");
    }
  }
}
