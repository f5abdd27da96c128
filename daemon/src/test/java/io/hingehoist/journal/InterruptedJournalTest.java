package io.hingehoist.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.ReplicaSet;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.replication.DurableState;
import io.hingehoist.replication.LogSnapshot;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Ends a process before each operation on the disk of each sequence that writes to it, by a kill or
 * a loss of power, ends its next start in the same way, and checks what the start after that finds.
 */
public final class InterruptedJournalTest {
  private static final int POWER_LOSSES = 6;

  private Path folder;

  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("interrupted");
  }

  /** Opens a journal on a disk. */
  private interface Start {
    Journal open(Path folder, Disk disk) throws IOException;
  }

  /** One sequence of operations that completes before the journal is used further. */
  private interface Step {
    void run(Journal journal) throws IOException;
  }

  /** What a disk holds of a replica; without the entries that its snapshot covers. */
  private record Content(
      String clusterId, long term, String votedFor, long snapshotIndex, List<Position> entries) {
    private static final Content BLANK = new Content("", 0, "", 0, List.of());

    private static Content of(Journal journal) {
      DurableState state = journal.takeRecovered();
      return new Content(
          journal.identity().clusterId(),
          state.term(),
          state.votedFor(),
          state.snapshot().lastIndex(),
          Position.of(state.entries()));
    }
  }

  private record Position(long index, long term) {
    private static List<Position> of(List<LogEntry> entries) {
      return entries.stream().map(entry -> new Position(entry.index(), entry.term())).toList();
    }
  }

  private record NamedStep(Step step, Content contentAfter) {}

  /**
   * A start and the steps after it.
   *
   * @param contentAfterStart what the disk holds once the start is complete
   */
  private record Sequence(
      String name, Start start, Content contentAfterStart, List<NamedStep> steps) {
    private List<Content> contents() {
      List<Content> contents = new ArrayList<>(List.of(Content.BLANK, contentAfterStart));
      steps.forEach(step -> contents.add(step.contentAfter()));
      return contents;
    }

    @Override
    public String toString() {
      return name;
    }
  }

  private static Journal openOrCreate(Path folder, Disk disk) throws IOException {
    return Journal.open(folder, disk, Metrics.create());
  }

  private static Journal found(Path folder, Disk disk) throws IOException {
    Journal.found(folder, disk, "c", "127.0.0.1:1", 1);
    return openOrCreate(folder, disk);
  }

  private static LogEntry entry(long term, long index) {
    byte[] body = {(byte) index, 1, 2, 3};
    return new LogEntry(term, index, EntryKind.COMMAND, 5, Bytes.copyOf(body));
  }

  private static void appendAndSync(Journal journal, LogEntry entry) throws IOException {
    journal.addEntries(List.of(entry));
    journal.sync();
  }

  private static LogSnapshot snapshot(long index, long term) {
    return new LogSnapshot(index, term, new ReplicaSet(List.of()), Bytes.copyOf(new byte[] {9}));
  }

  private static NamedStep vote(long term, LogEntry... held) {
    return new NamedStep(
        journal -> {
          journal.addVote(term, "candidate");
          journal.sync();
        },
        new Content("", term, "candidate", 0, Position.of(List.of(held))));
  }

  private static NamedStep append(LogEntry entry, LogEntry... all) {
    return new NamedStep(
        journal -> appendAndSync(journal, entry),
        new Content("", 1, "candidate", 0, Position.of(List.of(all))));
  }

  private static NamedStep save(LogSnapshot snapshot, long term, LogEntry... after) {
    return new NamedStep(
        journal -> journal.saveSnapshot(snapshot, term, "candidate", List.of(after)),
        new Content("", term, "candidate", snapshot.lastIndex(), Position.of(List.of(after))));
  }

  private static NamedStep join() {
    return new NamedStep(
        journal -> journal.joinCluster("c"), new Content("c", 0, "", 0, List.of()));
  }

  @DataProvider
  public Object[][] sequences() throws IOException {
    LogEntry one = entry(1, 1);
    LogEntry two = entry(1, 2);
    LogEntry three = entry(1, 3);
    List<NamedStep> entries =
        List.of(vote(1), append(one, one), append(two, one, two), append(three, one, two, three));
    List<NamedStep> snapshots = new ArrayList<>(entries);
    snapshots.add(save(snapshot(2, 1), 1, three));
    snapshots.add(save(snapshot(3, 1), 1));
    List<NamedStep> installed = new ArrayList<>(entries);
    installed.add(vote(4, one, two, three));
    installed.add(save(snapshot(2, 4), 4));
    installed.add(save(snapshot(7, 4), 4));
    return new Object[][] {
      {sequence("start and joining", List.of(join()))},
      {sequence("group commits", entries)},
      {sequence("snapshots", snapshots)},
      {sequence("installed snapshots of another history", installed)},
      {new Sequence("founding", InterruptedJournalTest::found, founded(), List.of())},
    };
  }

  private static Sequence sequence(String name, List<NamedStep> steps) {
    return new Sequence(name, InterruptedJournalTest::openOrCreate, Content.BLANK, steps);
  }

  private static Content founded() throws IOException {
    Path other = Files.createTempDirectory("founded");
    try (Journal journal = found(other, Disk.real())) {
      Content content = Content.of(journal);
      return new Content("c", content.term(), content.votedFor(), 0, content.entries());
    }
  }

  /** A run of a sequence up to an interruption. */
  private static final class Play {
    private int completed;
    private Optional<String> replicaId = Optional.empty();

    private void run(Sequence sequence, Path folder, Disk disk) throws IOException {
      try (Journal journal = sequence.start().open(folder, disk)) {
        replicaId = Optional.of(journal.identity().replicaId());
        completed = 1;
        for (NamedStep step : sequence.steps()) {
          step.step().run(journal);
          completed++;
        }
      }
    }
  }

  /** A replica killed between two files of its first start was refused at each later start. */
  @Test(dataProvider = "sequences")
  public void everyInterruptionLeavesTheStateBeforeOrAfterTheStep(Sequence sequence)
      throws IOException {
    InterruptibleDisk whole = InterruptibleDisk.of(folder);
    new Play().run(sequence, folder, whole);
    for (int operation = 0; operation < whole.operations(); operation++) {
      for (int loss = -1; loss < POWER_LOSSES; loss++) {
        for (int second = 0; checkInterruption(sequence, operation, loss, second); second++) {}
      }
    }
  }

  /**
   * Interrupts a sequence before an operation, and the start after it before another one.
   *
   * @param loss -1 for a kill, 0 for a loss of power and all that is not synced, else a seed of
   *     what a loss of power keeps
   * @return whether the second start was interrupted, too
   */
  private boolean checkInterruption(Sequence sequence, int operation, int loss, int second)
      throws IOException {
    folder = Files.createTempDirectory("interrupted");
    InterruptibleDisk disk = InterruptibleDisk.of(folder, operation);
    Play play = new Play();
    try {
      play.run(sequence, folder, disk);
    } catch (InterruptibleDisk.Interruption expected) {
      // The state is checked below.
    }
    endProcess(disk, loss);
    InterruptibleDisk next = disk.restarted(second);
    boolean interrupted = false;
    try {
      openOrCreate(folder, next).close();
    } catch (InterruptibleDisk.Interruption expected) {
      interrupted = true;
    }
    endProcess(next, loss);
    String where =
        "%s, before operation %d, power loss %d, then before %d"
            .formatted(sequence, operation, loss, second);
    checkContent(sequence, play, next.restarted(Integer.MAX_VALUE), where);
    return interrupted;
  }

  private static void endProcess(InterruptibleDisk disk, int loss) throws IOException {
    if (loss == 0) {
      disk.losePower();
    } else if (loss > 0) {
      disk.losePower(new Random(loss));
    }
  }

  /** Checks what the next start finds, and that this is durable once the start returns. */
  private void checkContent(Sequence sequence, Play play, InterruptibleDisk disk, String where)
      throws IOException {
    List<Content> contents = sequence.contents();
    List<Content> allowed =
        contents.subList(play.completed, Math.min(play.completed + 2, contents.size()));
    Content found;
    String replicaId;
    try (Journal journal = openOrCreate(folder, disk)) {
      found = Content.of(journal);
      replicaId = journal.identity().replicaId();
    } catch (DamageException e) {
      throw new AssertionError(where, e);
    }
    assertTrue(allowed.contains(found), where + ": " + found + " is not among " + allowed);
    play.replicaId.ifPresent(id -> assertEquals(replicaId, id, where));
    disk.losePower();
    try (Journal journal = openOrCreate(folder, InterruptibleDisk.of(folder))) {
      assertEquals(Content.of(journal), found, where + ", after a loss of power");
      assertEquals(journal.identity().replicaId(), replicaId, where + ", after a loss of power");
      appendAndSync(journal, entry(9, found.snapshotIndex() + found.entries().size() + 1));
    }
  }

  @DataProvider
  public Object[][] usedDisks() {
    LogEntry one = entry(1, 1);
    return new Object[][] {
      {sequence("voted", List.of(vote(1)))},
      {sequence("acknowledged", List.of(append(one, one)))},
      {sequence("saved a snapshot", List.of(append(one, one), save(snapshot(1, 1), 1)))},
    };
  }

  /** A replica that could have forgotten a vote or an entry must not start again. */
  @Test(dataProvider = "usedDisks")
  public void aUsedDiskThatLostItsIdentityOrItsSegmentsIsRefused(Sequence sequence)
      throws IOException {
    new Play().run(sequence, folder, Disk.real());
    Path identity = folder.resolve("identity.properties");
    byte[] content = Files.readAllBytes(identity);
    Files.delete(identity);
    checkRefused();
    Files.write(identity, content);
    openOrCreate(folder, Disk.real()).close();
    for (Path segment : Folders.listSorted(folder, ".journal")) {
      Files.delete(segment);
    }
    checkRefused();
  }

  /** A start that was refused removed the torn block that told a used disk from a new one. */
  @Test
  public void aRefusedStartChangesNothing() throws IOException {
    new Play().run(sequence("voted", List.of(vote(1))), folder, Disk.real());
    Files.delete(folder.resolve("identity.properties"));
    Path segment = Folders.listSorted(folder, ".journal").getLast();
    Disk.real().truncate(segment, Files.size(segment) - 1);
    checkRefused();
    checkRefused();
  }

  /** A replica whose log was only in its lost snapshot started with an empty log. */
  @Test
  public void aUsedDiskThatLostItsSnapshotIsRefused() throws IOException {
    LogEntry one = entry(1, 1);
    List<NamedStep> steps = List.of(append(one, one), save(snapshot(1, 1), 1));
    new Play().run(sequence("saved a snapshot", steps), folder, Disk.real());
    Files.delete(Folders.listSorted(folder, ".snapshot").getLast());
    expectThrows(DamageException.class, () -> openOrCreate(folder, Disk.real()));
  }

  private void checkRefused() {
    String message =
        expectThrows(DamageException.class, () -> openOrCreate(folder, Disk.real())).getMessage();
    assertTrue(
        message.endsWith(
            "damaged at offset 0: the identity file or the journal segments are missing"),
        message);
  }
}
