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
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.Message;
import io.hingehoist.message.QueryRequest;
import io.hingehoist.message.QueryResponse;
import io.hingehoist.message.ReplyStatus;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.settings.ControlSection;
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

/** Tests five replicas that discover each other through three seed addresses, over loopback. */
public final class FiveReplicasTest {
  private static final int REPLICAS = 5;
  private static final int TOLERATED_LOSSES = 2;
  private static final long TIME_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(90);
  private static final Bytes ONE = Bytes.copyOf(new byte[] {1});
  private static final Bytes TWO = Bytes.copyOf(new byte[] {2});

  private final List<Optional<ControlNode>> replicas = new ArrayList<>();
  private Path folder;
  private String foundsAt;
  private boolean firstStart;
  private int port;
  private long startedAtNanos;
  private EventLoop loop;

  @BeforeMethod
  public void setUp() throws IOException {
    folder = Files.createTempDirectory(Path.of("target"), "five-replicas");
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.97.1"))) {
      port = socket.getLocalPort();
    }
    loop = EventLoop.start(Throwable::printStackTrace);
    startedAtNanos = System.nanoTime();
    foundsAt = "";
    firstStart = false;
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
    return System.nanoTime() - startedAtNanos < TIME_LIMIT_NANOS;
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

  private void foundCluster() throws IOException {
    Journal.found(dataFolder(0), Disk.real(), "c", address(0), 1);
  }

  private void start(int index) throws IOException {
    NodeSection node =
        NodeSection.from(
            SettingsValues.of(
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
            SettingsValues.of(
                ControlSection.SPECS,
                Map.of(
                    "listenAddress",
                    address(index),
                    "doorAddress",
                    address(index),
                    "foundsAt",
                    foundsAt,
                    "firstStart",
                    String.valueOf(firstStart),
                    "lossesBorne",
                    String.valueOf(TOLERATED_LOSSES),
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
                ConnectionLimits.ofPeers(),
                Metrics.create(),
                Thread.ofVirtual().factory(),
                Optional.empty(),
                Throwable::printStackTrace)));
  }

  private Result submit(int index, Consumer<PendingOrder> request) throws Exception {
    CompletableFuture<Result> result = new CompletableFuture<>();
    ControlNode replica = replicas.get(index).orElseThrow();
    loop.execute(
        () ->
            request.accept(
                new PendingOrder(
                    LocalOperatorCommands.of(replica, loop, "configuration"), result)));
    return result.get(30, TimeUnit.SECONDS);
  }

  private record PendingOrder(LocalOperatorCommands orders, CompletableFuture<Result> result) {}

  private Result publish(int index, long version, Bytes content) throws Exception {
    return submit(
        index, order -> order.orders().publish(version, content, order.result()::complete));
  }

  private Result read(int index) throws Exception {
    return submit(index, order -> order.orders().readNewest(order.result()::complete));
  }

  private Result evacuateAtAnyReplica(String zone) throws Exception {
    for (int i = 0; isTimeLeft(); i++) {
      List<Integer> indexes = runningReplicas();
      int index = indexes.get(i % indexes.size());
      Result result =
          submit(index, order -> order.orders().evacuate(zone, order.result()::complete));
      if (result instanceof Result.Accepted) {
        return result;
      }
    }
    throw new AssertionError("no definite result of the evacuation of " + zone);
  }

  private List<Integer> runningReplicas() {
    List<Integer> indexes = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      if (replicas.get(i).isPresent()) {
        indexes.add(i);
      }
    }
    return indexes;
  }

  /** Publishes at one replica after the other until one returns a definite result. */
  private Result publishAtAnyReplica(long version, Bytes content) throws Exception {
    for (int i = 0; isTimeLeft(); i++) {
      List<Integer> indexes = runningReplicas();
      Result result = publish(indexes.get(i % indexes.size()), version, content);
      if (result instanceof Result.Accepted || result instanceof Result.Conflict) {
        return result;
      }
    }
    throw new AssertionError("no definite result of publishing version " + version);
  }

  private Result readAtAnyReplica() throws Exception {
    for (int i = 0; isTimeLeft(); i++) {
      List<Integer> indexes = runningReplicas();
      Result result = read(indexes.get(i % indexes.size()));
      if (result instanceof Result.Newest) {
        return result;
      }
    }
    throw new AssertionError("no replica returns the newest version");
  }

  @Test
  public void acceptsNothingBeforeEveryVoterHasJoined() throws Exception {
    foundCluster();
    for (int i = 0; i < REPLICAS - 1; i++) {
      start(i);
    }
    for (int i = 0; i < 40; i++) {
      assertFalse(publish(i % (REPLICAS - 1), 1, ONE) instanceof Result.Accepted);
    }
    start(REPLICAS - 1);
    assertEquals(publishAtAnyReplica(1, ONE), new Result.Accepted(1));
    assertEquals(readAtAnyReplica(), new Result.Newest(1, ONE));
  }

  /** Nothing was ever accepted when the founder was killed at the first start. */
  @Test
  public void theClusterIsFoundedOnceAllReplicasAreBlank() throws Exception {
    foundsAt = address(0);
    for (int i = 1; i < REPLICAS; i++) {
      start(i);
    }
    assertFalse(publish(1, 1, ONE) instanceof Result.Accepted);
    start(0);
    assertEquals(publishAtAnyReplica(1, ONE), new Result.Accepted(1));
    for (int lost : List.of(0, 3)) {
      close(lost);
      deleteFolder(dataFolder(lost));
      start(lost);
    }
    assertEquals(readAtAnyReplica(), new Result.Newest(1, ONE));
  }

  /** Nothing was accepted while one of the boxes was dark from the first start on. */
  @Test
  public void twoReplicasMayBeMissingFromTheFirstStartOn() throws Exception {
    foundsAt = address(0);
    firstStart = true;
    for (int i = 2; i < REPLICAS; i++) {
      start(i);
    }
    assertEquals(publishAtAnyReplica(1, ONE), new Result.Accepted(1));
    firstStart = false;
    start(0);
    start(1);
    awaitVoter(0);
    awaitVoter(1);
    for (int lost : List.of(2, 3)) {
      close(lost);
      deleteFolder(dataFolder(lost));
    }
    assertEquals(readAtAnyReplica(), new Result.Newest(1, ONE));
  }

  @Test
  public void toleratesTheSimultaneousLossOfTwoDisks() throws Exception {
    foundCluster();
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    assertEquals(publishAtAnyReplica(1, ONE), new Result.Accepted(1));
    for (int lost : List.of(0, 3)) {
      close(lost);
      deleteFolder(dataFolder(lost));
    }
    assertEquals(readAtAnyReplica(), new Result.Newest(1, ONE));
    start(0);
    start(3);
    assertEquals(publishAtAnyReplica(2, TWO), new Result.Accepted(2));
    awaitVoter(0);
    awaitVoter(3);
    // Once both replaced replicas are voters, the cluster must tolerate the loss of two others.
    close(1);
    close(2);
    assertEquals(readAtAnyReplica(), new Result.Newest(2, TWO));
  }

  /** Waits until the identity on a replica's disk is that of a voter. */
  private void awaitVoter(int index) throws Exception {
    while (isTimeLeft()) {
      Optional<Identity> identity = Identity.read(dataFolder(index));
      if (identity.isPresent() && status().contains(voterLine(index, identity.get()))) {
        return;
      }
    }
    throw new AssertionError("replica " + index + " did not become a voter: " + status());
  }

  private String voterLine(int index, Identity identity) {
    return "\"replicaId\":\"%s\",\"address\":\"%s\",\"voter\":true"
        .formatted(identity.replicaId(), address(index));
  }

  /** Returns the status report of the leader, or an empty string if there is none. */
  private String status() throws Exception {
    StringBuilder all = new StringBuilder();
    for (int index : runningReplicas()) {
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
  public void replicasWithoutAFounderNeverFormACluster() throws Exception {
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    for (int i = 0; i < 40; i++) {
      assertFalse(publish(i % REPLICAS, 1, ONE) instanceof Result.Accepted);
    }
  }

  @Test
  public void aPublishedVersionWithDifferentContentIsAConflict() throws Exception {
    foundCluster();
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    assertEquals(publishAtAnyReplica(3, ONE), new Result.Accepted(3));
    assertEquals(publishAtAnyReplica(3, TWO), new Result.Conflict(3));
    assertEquals(publishAtAnyReplica(3, ONE), new Result.Accepted(3));
    assertEquals(publishAtAnyReplica(2, TWO), new Result.Accepted(3));
    assertEquals(readAtAnyReplica(), new Result.Newest(3, ONE));
  }

  @Test
  public void anEvacuationSurvivesTheLossOfReplicasThatAcceptedIt() throws Exception {
    foundCluster();
    for (int i = 0; i < REPLICAS; i++) {
      start(i);
    }
    publishAtAnyReplica(1, ONE);
    assertEquals(evacuateAtAnyReplica("z1"), new Result.Accepted(1));
    assertEquals(evacuateAtAnyReplica("z1"), new Result.Accepted(1));
    for (int lost : List.of(1, 4)) {
      close(lost);
      deleteFolder(dataFolder(lost));
    }
    assertEquals(evacuateAtAnyReplica("z2"), new Result.Accepted(2));
    start(1);
    start(4);
    awaitVoter(1);
    awaitVoter(4);
    // All replicas stop at once, and two of those that accepted the first evacuation don't return.
    for (int i = 0; i < REPLICAS; i++) {
      close(i);
    }
    for (int i : List.of(0, 1, 4)) {
      start(i);
    }
    assertEquals(evacuateAtAnyReplica("z1"), new Result.Accepted(2));
    assertEquals(evacuateAtAnyReplica("z2"), new Result.Accepted(2));
  }

  @Test
  public void noEvacuationIsAcceptedBeforeEveryVoterHasJoined() throws Exception {
    foundCluster();
    for (int i = 0; i < REPLICAS - 1; i++) {
      start(i);
    }
    for (int i = 0; i < 40; i++) {
      int index = i % (REPLICAS - 1);
      Result result =
          submit(index, order -> order.orders().evacuate("z1", order.result()::complete));
      assertFalse(result instanceof Result.Accepted);
    }
  }
}
