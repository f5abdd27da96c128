package io.hingehoist.quorum;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.hingehoist.adapter.OperatorCommands.Result;
import io.hingehoist.command.GetReport;
import io.hingehoist.command.QueryAnswer;
import io.hingehoist.command.Report;
import io.hingehoist.journal.Disk;
import io.hingehoist.journal.Identity;
import io.hingehoist.journal.Journal;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.Message;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.QueryResponse;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.settings.ControlSection;
import io.hingehoist.settings.FieldSpecs;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.wire.MessageSink;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Five replicas that find each other through three seeds, over real connections on loopback. */
public final class FiveReplicasTest {
  private static final int REPLICAS = 5;
  private static final int LOSSES_BORNE = 2;
  private static final long TIME_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(90);
  private static final Bytes ONE = Bytes.copyOf(new byte[] {1});
  private static final Bytes TWO = Bytes.copyOf(new byte[] {2});

  private final List<Optional<ControlNode>> replicas = new ArrayList<>();
  private Path folder;
  private int port;
  private long beganAtNanos;
  private EventLoop loop;

  @BeforeMethod
  public void prepare() throws IOException {
    folder = Files.createTempDirectory(Path.of("target"), "five-replicas");
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.97.1"))) {
      port = socket.getLocalPort();
    }
    loop = EventLoop.start(Throwable::printStackTrace);
    beganAtNanos = System.nanoTime();
    replicas.clear();
    for (int i = 0; i < REPLICAS; i++) {
      replicas.add(Optional.empty());
    }
  }

  @AfterMethod
  public void closeAll() {
    for (int i = 0; i < REPLICAS; i++) {
      close(i);
    }
    loop.close();
  }

  private boolean isTimeLeft() {
    return System.nanoTime() - beganAtNanos < TIME_LIMIT_NANOS;
  }

  private void close(int index) {
    replicas.get(index).ifPresent(ControlNode::close);
    replicas.set(index, Optional.empty());
  }

  private String address(int index) {
    return "127.0.97." + (index + 1) + ":" + port;
  }

  private Path dataFolder(int index) {
    return folder.resolve("r" + index);
  }

  private void found() throws IOException {
    Journal.found(dataFolder(0), Disk.real(), "c", address(0), 1);
  }

  private void start(int index) throws IOException {
    NodeSection node =
        NodeSection.from(
            values(
                NodeSection.SPECS,
                Map.of(
                    "nodeId",
                    "r" + index,
                    "roles",
                    "control",
                    "zone",
                    "z",
                    "controlAddresses",
                    address(0) + "," + address(1) + "," + address(2),
                    "peerPort",
                    String.valueOf(port),
                    "dataFolder",
                    dataFolder(index).toString())));
    ControlSection control =
        ControlSection.from(
            values(
                ControlSection.SPECS,
                Map.of(
                    "listenAddress",
                    address(index),
                    "lossesBorne",
                    String.valueOf(LOSSES_BORNE),
                    "electionTimeoutMs",
                    "400",
                    "heartbeatMs",
                    "80")));
    replicas.set(
        index,
        Optional.of(
            ControlNode.start(
                node,
                control,
                Disk.real(),
                Metrics.create(),
                Thread.ofVirtual().factory(),
                Optional.empty(),
                Throwable::printStackTrace)));
  }

  private static java.util.function.Function<String, String> values(
      List<io.hingehoist.message.FieldSpec> specs, Map<String, String> given) {
    return name ->
        given.getOrDefault(name, FieldSpecs.find(specs, name).orElseThrow().defaultValue());
  }

  private Result ask(int index, Consumer<AskedOrders> request) throws Exception {
    CompletableFuture<Result> result = new CompletableFuture<>();
    ControlNode replica = replicas.get(index).orElseThrow();
    loop.execute(
        () ->
            request.accept(
                new AskedOrders(LocalOrders.of(replica, loop, "configuration"), result)));
    return result.get(30, TimeUnit.SECONDS);
  }

  private record AskedOrders(LocalOrders log, CompletableFuture<Result> result) {}

  private Result publish(int index, long version, Bytes content) throws Exception {
    return ask(index, asked -> asked.log().publish(version, content, asked.result()::complete));
  }

  private Result read(int index) throws Exception {
    return ask(index, asked -> asked.log().readNewest(asked.result()::complete));
  }

  private Result evacuateSomewhere(String zone) throws Exception {
    for (int i = 0; isTimeLeft(); i++) {
      List<Integer> indexes = running();
      int index = indexes.get(i % indexes.size());
      Result result = ask(index, asked -> asked.log().evacuate(zone, asked.result()::complete));
      if (result instanceof Result.Accepted) {
        return result;
      }
    }
    throw new AssertionError("no clear answer to the evacuation of " + zone);
  }

  private List<Integer> running() {
    List<Integer> indexes = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      if (replicas.get(i).isPresent()) {
        indexes.add(i);
      }
    }
    return indexes;
  }

  /** Asks one replica after the other, as an operator does, until one gives a clear answer. */
  private Result publishSomewhere(long version, Bytes content) throws Exception {
    for (int i = 0; isTimeLeft(); i++) {
      List<Integer> indexes = running();
      Result result = publish(indexes.get(i % indexes.size()), version, content);
      if (result instanceof Result.Accepted || result instanceof Result.Conflict) {
        return result;
      }
    }
    throw new AssertionError("no clear answer to version " + version);
  }

  private Result readSomewhere() throws Exception {
    for (int i = 0; isTimeLeft(); i++) {
      List<Integer> indexes = running();
      Result result = read(indexes.get(i % indexes.size()));
      if (result instanceof Result.Newest) {
        return result;
      }
    }
    throw new AssertionError("no replica can read");
  }

  @Test
  public void acceptsNothingBeforeEveryVoterIsThere() throws Exception {
    found();
    for (int i = 0; i < REPLICAS - 1; i++) {
      start(i);
    }
    for (int i = 0; i < 40; i++) {
      assertFalse(publish(i % (REPLICAS - 1), 1, ONE) instanceof Result.Accepted);
    }
    start(REPLICAS - 1);
    assertEquals(publishSomewhere(1, ONE), new Result.Accepted(1));
    assertEquals(readSomewhere(), new Result.Newest(1, ONE));
  }

  @Test
  public void bearsTheLossOfTwoDisksAtOnce() throws Exception {
    found();
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    assertEquals(publishSomewhere(1, ONE), new Result.Accepted(1));
    for (int lost : List.of(0, 3)) {
      close(lost);
      deleteFolder(dataFolder(lost));
    }
    assertEquals(readSomewhere(), new Result.Newest(1, ONE));
    start(0);
    start(3);
    assertEquals(publishSomewhere(2, TWO), new Result.Accepted(2));
    awaitVoter(0);
    awaitVoter(3);
    // With the two blank disks among the voters, two others may go.
    close(1);
    close(2);
    assertEquals(readSomewhere(), new Result.Newest(2, TWO));
  }

  /** Waits until the identity on a replica's disk is among the voters. */
  private void awaitVoter(int index) throws Exception {
    while (isTimeLeft()) {
      Optional<Identity> identity = Identity.read(dataFolder(index));
      if (identity.isPresent() && status().contains(voterLine(index, identity.get()))) {
        return;
      }
    }
    throw new AssertionError("replica " + index + " does not become a voter: " + status());
  }

  private String voterLine(int index, Identity identity) {
    return "\"replicaId\":\"%s\",\"address\":\"%s\",\"voter\":true"
        .formatted(identity.replicaId(), address(index));
  }

  /** Returns the report of whichever replica leads; empty where none does. */
  private String status() throws Exception {
    StringBuilder all = new StringBuilder();
    for (int index : running()) {
      CompletableFuture<Message> answer = new CompletableFuture<>();
      Bytes query = new GetReport("status", "").toBytes();
      replicas.get(index).orElseThrow().submit(new FutureSink(answer), new QueryRequest(1, query));
      if (answer.get(30, TimeUnit.SECONDS) instanceof QueryResponse response
          && response.status() == ReplyStatus.OK
          && QueryAnswer.fromBytes(response.result()) instanceof Report report) {
        all.append(report.json());
      }
    }
    return all.toString();
  }

  private record FutureSink(CompletableFuture<Message> answer) implements MessageSink {
    @Override
    public boolean send(Message message) {
      return answer.complete(message);
    }

    @Override
    public boolean isOpen() {
      return true;
    }
  }

  private static void deleteFolder(Path path) throws IOException {
    try (var files = Files.list(path)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  @Test
  public void aBlankReplicaThatMayNotFoundNeverDoes() throws Exception {
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    for (int i = 0; i < 40; i++) {
      assertFalse(publish(i % REPLICAS, 1, ONE) instanceof Result.Accepted);
    }
  }

  @Test
  public void aHeldVersionWithAnotherContentIsAConflict() throws Exception {
    found();
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    assertEquals(publishSomewhere(3, ONE), new Result.Accepted(3));
    assertEquals(publishSomewhere(3, TWO), new Result.Conflict(3));
    assertEquals(publishSomewhere(3, ONE), new Result.Accepted(3));
    assertEquals(publishSomewhere(2, TWO), new Result.Accepted(3));
    assertEquals(readSomewhere(), new Result.Newest(3, ONE));
  }

  @Test
  public void anEvacuationOutlivesTheReplicasThatAcceptedIt() throws Exception {
    found();
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    publishSomewhere(1, ONE);
    assertEquals(evacuateSomewhere("z1"), new Result.Accepted(1));
    assertEquals(evacuateSomewhere("z1"), new Result.Accepted(1));
    for (int lost : List.of(1, 4)) {
      close(lost);
      deleteFolder(dataFolder(lost));
    }
    assertEquals(evacuateSomewhere("z2"), new Result.Accepted(2));
    start(1);
    start(4);
    awaitVoter(1);
    awaitVoter(4);
    // All lose power at once, and two of those that accepted the first order are gone.
    for (int i = 0; i < REPLICAS; i++) {
      close(i);
    }
    for (int i : List.of(0, 1, 4)) {
      start(i);
    }
    assertEquals(evacuateSomewhere("z1"), new Result.Accepted(2));
    assertEquals(evacuateSomewhere("z2"), new Result.Accepted(2));
  }

  @Test
  public void noEvacuationIsAcceptedBeforeEveryVoterIsThere() throws Exception {
    found();
    for (int i = 0; i < REPLICAS - 1; i++) {
      start(i);
    }
    for (int i = 0; i < 40; i++) {
      int index = i % (REPLICAS - 1);
      Result result = ask(index, asked -> asked.log().evacuate("z1", asked.result()::complete));
      assertFalse(result instanceof Result.Accepted);
    }
  }
}
