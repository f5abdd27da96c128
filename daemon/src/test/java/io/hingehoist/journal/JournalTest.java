package io.hingehoist.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
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
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class JournalTest {
  private Path folder;

  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("journal");
  }

  private Journal open() throws IOException {
    return Journal.open(folder, Disk.real(), Metrics.create());
  }

  private static LogEntry entry(long index) {
    Bytes body = Bytes.copyOf(new byte[] {(byte) index, 1, 2, 3});
    return new LogEntry(1, index, EntryKind.COMMAND, 5, body);
  }

  private void writeEntries(int count) throws IOException {
    try (Journal journal = open()) {
      for (int i = 1; i <= count; i++) {
        journal.addEntries(List.of(entry(i)));
        journal.sync();
      }
    }
  }

  private DurableState readState() throws IOException {
    try (Journal journal = open()) {
      return journal.takeRecovered();
    }
  }

  private Path segment() throws IOException {
    return Folders.listSorted(folder, ".journal").getLast();
  }

  @Test
  public void syncedStepsAreReadBack() throws IOException {
    try (Journal journal = open()) {
      journal.addVote(3, "candidate");
      journal.addEntries(List.of(entry(1), entry(2), entry(3)));
      journal.addTruncation(3);
      journal.sync();
    }
    DurableState state = readState();
    assertEquals(state.term(), 3);
    assertEquals(state.votedFor(), "candidate");
    assertEquals(state.entries(), List.of(entry(1), entry(2)));
  }

  /** The entries read at a start stayed in memory as long as the process ran. */
  @Test
  public void theRecoveredStateIsHandedOverOnce() throws IOException {
    writeEntries(3);
    try (Journal journal = open()) {
      assertEquals(journal.takeRecovered().entries().size(), 3);
      assertThrows(IllegalStateException.class, journal::takeRecovered);
    }
  }

  @Test
  public void identityIsKeptInItsFolderAndNewInAnother() throws IOException {
    Identity first = open().identity();
    assertEquals(open().identity(), first);
    folder = Files.createTempDirectory("journal");
    assertNotEquals(open().identity(), first);
  }

  /** A disk that forgot the first start could not help to found the cluster. */
  @Test
  public void aDiskOfTheFirstStartStaysOne() throws IOException {
    Journal.open(folder, Disk.real(), Metrics.create(), "founding").close();
    assertEquals(open().identity().foundingId(), "founding");
    Files.delete(folder.resolve("identity.properties"));
    assertEquals(open().identity().foundingId(), "founding");
  }

  @Test
  public void aBlankDiskOfALaterStartIsNotOfTheFirst() throws IOException {
    assertEquals(open().identity().foundingId(), "");
    Journal.open(folder, Disk.real(), Metrics.create(), "founding").close();
    assertEquals(open().identity().foundingId(), "");
  }

  @Test
  public void tornTailIsTruncated() throws IOException {
    writeEntries(3);
    long untruncatedSize = Files.size(segment());
    for (int missingBytes = 1; missingBytes < 20; missingBytes++) {
      try (FileChannel channel = FileChannel.open(segment(), StandardOpenOption.WRITE)) {
        channel.truncate(untruncatedSize - missingBytes);
      }
      assertEquals(readState().entries(), List.of(entry(1), entry(2)));
      rewriteThirdEntry();
    }
  }

  private void rewriteThirdEntry() throws IOException {
    try (Journal journal = open()) {
      journal.addEntries(List.of(entry(3)));
      journal.sync();
    }
    assertEquals(readState().entries().size(), 3);
  }

  @Test
  public void damageBeforeTheTailFailsOpenWithFileAndOffset() throws IOException {
    writeEntries(3);
    ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(segment()));
    int secondBlock = Blocks.HEADER_BYTES + content.getInt(0);
    content.put(secondBlock + 12, (byte) ~content.get(secondBlock + 12));
    Files.write(segment(), content.array());
    String message = expectThrows(DamageException.class, this::readState).getMessage();
    assertTrue(message.contains(segment().toString()), message);
    assertTrue(message.contains("offset " + secondBlock), message);
  }

  @Test
  public void damagedFirstBlockIsNotTreatedAsATornTail() throws IOException {
    writeEntries(0);
    byte[] content = Files.readAllBytes(segment());
    content[content.length - 1]++;
    Files.write(segment(), content);
    assertThrows(DamageException.class, this::readState);
  }

  @Test
  public void identityWithoutSegmentsFailsOpen() throws IOException {
    writeEntries(1);
    Files.delete(segment());
    assertThrows(DamageException.class, this::readState);
  }

  @Test
  public void snapshotReplacesTheEntriesItCovers() throws IOException {
    LogSnapshot snapshot =
        new LogSnapshot(2, 1, new ReplicaSet(List.of()), Bytes.copyOf(new byte[] {9}));
    try (Journal journal = open()) {
      journal.addEntries(List.of(entry(1), entry(2), entry(3)));
      journal.sync();
      journal.saveSnapshot(snapshot, 4, "v", List.of(entry(3)));
      journal.addEntries(List.of(entry(4)));
      journal.sync();
    }
    DurableState state = readState();
    assertEquals(state.snapshot(), snapshot);
    assertEquals(state.entries(), List.of(entry(3), entry(4)));
    assertEquals(state.term(), 4);
    assertEquals(Folders.listSorted(folder, ".journal").size(), 1);
  }

  @Test
  public void damagedSnapshotFailsOpen() throws IOException {
    try (Journal journal = open()) {
      journal.addEntries(List.of(entry(1)));
      journal.sync();
      LogSnapshot snapshot =
          new LogSnapshot(1, 1, new ReplicaSet(List.of()), Bytes.copyOf(new byte[100]));
      journal.saveSnapshot(snapshot, 1, "", List.of());
    }
    Path file = Folders.listSorted(folder, ".snapshot").getLast();
    byte[] content = Files.readAllBytes(file);
    content[50]++;
    Files.write(file, content);
    assertThrows(DamageException.class, this::readState);
  }

  @Test
  public void crashBetweenSnapshotAndNewSegmentLosesNothing() throws IOException {
    writeEntries(3);
    LogSnapshot snapshot =
        new LogSnapshot(2, 1, new ReplicaSet(List.of()), Bytes.copyOf(new byte[] {9}));
    Snapshots.write(folder, snapshot, Disk.real());
    assertEquals(readState().entries(), List.of(entry(3)));
  }

  /** A disk whose writes or syncs can be made to fail, as on a full or broken disk. */
  private static final class FailingDisk implements Disk {
    private boolean isFull;
    private boolean syncFails;

    @Override
    public SyncedFile openForAppend(Path path) throws IOException {
      SyncedFile file = Disk.super.openForAppend(path);
      return new SyncedFile() {
        @Override
        public void append(ByteBuffer bytes) throws IOException {
          if (isFull) {
            bytes.limit(bytes.remaining() / 2);
            file.append(bytes);
            throw new IOException("No space left on device");
          }
          file.append(bytes);
        }

        @Override
        public void sync() throws IOException {
          if (syncFails) {
            throw new IOException("Input/output error");
          }
          file.sync();
        }

        @Override
        public void close() throws IOException {
          file.close();
        }
      };
    }
  }

  @Test
  public void fullDiskFailsSyncAndKeepsEarlierEntries() throws IOException {
    FailingDisk disk = new FailingDisk();
    Journal journal = Journal.open(folder, disk, Metrics.create());
    journal.addEntries(List.of(entry(1)));
    journal.sync();
    disk.isFull = true;
    journal.addEntries(List.of(entry(2)));
    assertThrows(IOException.class, journal::sync);
    assertEquals(readState().entries(), List.of(entry(1)));
  }

  @Test
  public void failedSyncThrows() throws IOException {
    FailingDisk disk = new FailingDisk();
    Journal journal = Journal.open(folder, disk, Metrics.create());
    disk.syncFails = true;
    journal.addEntries(List.of(entry(1)));
    assertThrows(IOException.class, journal::sync);
  }

  @Test
  public void foundingASecondTimeFails() throws IOException {
    Journal.found(folder, Disk.real(), "c", "127.0.0.1:1", 1);
    assertThrows(
        IOException.class, () -> Journal.found(folder, Disk.real(), "d", "127.0.0.1:1", 1));
    assertEquals(open().identity().clusterId(), "c");
  }
}
