package io.hingehoist.microbench;

import io.hingehoist.command.AdmitJob;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.RegisterEntry;
import io.hingehoist.control.ControlState;
import io.hingehoist.message.AgentInfo;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.Message;
import io.hingehoist.message.SettingEntry;
import io.hingehoist.message.StartTask;
import io.hingehoist.placement.PlacementPolicy;
import io.hingehoist.placement.Worker;
import io.hingehoist.settings.ServicePolicy;
import io.hingehoist.settings.SettingsPath;
import io.hingehoist.settings.SettingsTree;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the most frequent decisions: placement, a lookup of settings, an admission, and encoding
 * and decoding of a frame.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class DecisionBenchmark {
  private static final int TEAMS = 540;
  private static final long NOW_MS = 1_000;

  /** The number of workers that an entry chooses from. */
  @Param({"11", "500"})
  public int workers;

  private final Random random = new Random(1);
  private final PlacementPolicy leastOutstanding = new PlacementPolicy.LeastOutstanding();
  private final List<Worker<Object>> candidates = new ArrayList<>();
  private SettingsTree settings = SettingsTree.empty();
  private ControlState state;
  private long index;
  private Bytes frame;

  /** Creates the workers, the settings and the control state. */
  @Setup
  public void setUp() {
    for (int i = 0; i < workers; i++) {
      AgentInfo info =
          new AgentInfo("w" + i, 1, "127.0.0.1:1", "z", "porting", 8, 64, MemberState.LIVE);
      Worker<Object> worker = Worker.create(info);
      worker.onStatus(1, false, random.nextInt(5), NOW_MS);
      for (int task = random.nextInt(3); task > 0; task--) {
        worker.recordSent(new Object(), NOW_MS);
      }
      candidates.add(worker);
    }
    List<SettingEntry> entries = new ArrayList<>();
    for (int i = 0; i < TEAMS; i++) {
      entries.add(new SettingEntry("/service-" + i + "/class", "teamSlots", Optional.of("" + i)));
    }
    settings = settings.with(1, entries);
    state = ControlState.create();
    apply(new RegisterEntry("entry", 1, "", "z").toBytes());
    frame = startTask().toBytes();
  }

  private CommandResult apply(Bytes command) {
    return state.apply(new LogEntry(1, ++index, EntryKind.COMMAND, NOW_MS, command));
  }

  private static StartTask startTask() {
    return new StartTask(
        123_456, 1, 7, 1, 1_700_000_000_000L, 1_700_000_000_000L, 30_000, "ms=100 task of a job");
  }

  /** Measures the choice of a worker. */
  @Benchmark
  public Optional<Worker<Object>> placement() {
    return leastOutstanding.choose(candidates, random, NOW_MS);
  }

  /** Measures the lookup of all values that are in force at a node of the settings tree. */
  @Benchmark
  public ServicePolicy settingsLookup() {
    return settings.policyAt(SettingsPath.of("service-270", "class", "zone-1"));
  }

  /** Measures the admission of a job of five tasks. */
  @Benchmark
  public CommandResult admission() {
    List<String> payloads = List.of("ms=100 a", "ms=100 b", "ms=100 c", "ms=100 d", "ms=100 e");
    return apply(
        new AdmitJob(
                "caller",
                "submission-" + index % 100_000,
                NOW_MS,
                Bytes.empty(),
                "porting",
                "class",
                "team",
                NOW_MS + 1_000,
                payloads,
                "entry",
                1)
            .toBytes());
  }

  /** Measures the encoding of a frame. */
  @Benchmark
  public Bytes encodeFrame() {
    return startTask().toBytes();
  }

  /** Measures the decoding of a frame. */
  @Benchmark
  public Message decodeFrame() throws IOException {
    return Message.fromBytes(frame);
  }
}
