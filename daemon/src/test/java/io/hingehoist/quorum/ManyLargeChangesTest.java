package io.hingehoist.quorum;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.adapter.OperatorCommands.Result;
import io.hingehoist.journal.Disk;
import io.hingehoist.journal.Journal;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.message.Bytes;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.net.EventLoop;
import io.hingehoist.settings.ControlSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.wire.FreeAddresses;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs a replica in a process with the heap of deploy/system.toml. */
public final class ManyLargeChangesTest {
  private static final String HEAP = "-Xmx64m";
  private static final String YOUNG_GENERATION = "-Xmn16m";
  private static final long TIMEOUT_SECONDS = 60;

  @DataProvider
  public Object[][] changes() {
    return new Object[][] {{600, 114_000}, {120, 310_000}, {20, 2_000_000}};
  }

  /** An acknowledged configuration could not be read back, as no replica started again. */
  @Test(dataProvider = "changes")
  public void aReplicaStartsAgainAfterManyLargeChanges(int count, int bytes) throws Exception {
    Path folder = Files.createTempDirectory(Path.of("target"), "large-changes");
    String address = FreeAddresses.next();
    Journal.found(folder, Disk.real(), "c", address, 1);
    assertEquals(run(folder, address, "publish", count, bytes), 0);
    assertEquals(run(folder, address, "read", count, bytes), 0);
  }

  private static int run(Path folder, String address, String action, int count, int bytes)
      throws Exception {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                HEAP,
                YOUNG_GENERATION,
                "-XX:+UseSerialGC",
                "-cp",
                classPath,
                ManyLargeChangesTest.class.getName(),
                folder.toString(),
                address,
                action,
                Integer.toString(count),
                Integer.toString(bytes))
            .inheritIO()
            .start();
    try {
      assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), action + " did not end");
      return process.exitValue();
    } finally {
      process.destroyForcibly();
    }
  }

  /** Publishes or reads documents, and ends without a planned stop. */
  public static void main(String[] args) throws Exception {
    int count = Integer.parseInt(args[3]);
    int bytes = Integer.parseInt(args[4]);
    EventLoop loop = EventLoop.start(ManyLargeChangesTest::fail);
    LocalOperatorCommands commands =
        LocalOperatorCommands.of(startReplica(Path.of(args[0]), args[1]), loop, "configuration");
    if (args[2].equals("publish")) {
      for (int version = 1; version <= count; version++) {
        publish(commands, loop, version, bytes);
      }
    } else if (readVersion(commands, loop) != count) {
      Runtime.getRuntime().halt(1);
    }
    Runtime.getRuntime().halt(0);
  }

  private static void fail(Throwable error) {
    error.printStackTrace();
    Runtime.getRuntime().halt(2);
  }

  private static ControlNode startReplica(Path folder, String address) throws IOException {
    return ControlNode.start(
        NodeSection.from(
            SettingsValues.of(
                NodeSection.SPECS,
                Map.of(
                    "nodeId", "r",
                    "roles", "control",
                    "zone", "z",
                    "controlAddresses", address,
                    "dataFolder", folder.toString()))),
        ControlSection.from(
            SettingsValues.of(
                ControlSection.SPECS, Map.of("listenAddress", address, "snapshotEntries", "500"))),
        Disk.real(),
        ConnectionLimits.ofPeers(),
        Metrics.create(),
        Thread.ofVirtual().factory(),
        Optional.empty(),
        ManyLargeChangesTest::fail);
  }

  private static void publish(
      LocalOperatorCommands commands, EventLoop loop, long version, int bytes) throws Exception {
    Result result;
    do {
      result =
          await(
              loop, receiver -> commands.publish(version, Bytes.copyOf(new byte[bytes]), receiver));
    } while (!(result instanceof Result.Accepted));
  }

  private static long readVersion(LocalOperatorCommands commands, EventLoop loop) throws Exception {
    while (true) {
      if (await(loop, commands::readNewest) instanceof Result.Newest newest) {
        return newest.version();
      }
    }
  }

  private static Result await(EventLoop loop, Consumer<Consumer<Result>> command) throws Exception {
    CompletableFuture<Result> result = new CompletableFuture<>();
    loop.execute(() -> command.accept(result::complete));
    return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
