package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.HostRooms;
import io.hingehoist.message.HostRows;
import io.hingehoist.message.Message;
import io.hingehoist.message.Room;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

public final class HostRowsEncoderTest {
  private static final Room CAPACITY = new Room(16_000, 64_000, 0);

  private final HostRowsEncoder sent = HostRowsEncoder.create();
  private final HostRowsDecoder received = HostRowsDecoder.create();

  private static WorkerRow row(String workerId, Room capacity, long freeCpu) {
    return new WorkerRow(
        workerId,
        "s",
        "z",
        List.of("a", "r1"),
        capacity,
        new Room(freeCpu, 64_000, 0),
        WorkerState.READY,
        0);
  }

  /** Sends rows and returns what the other end makes of them. */
  private HostRows shown(HostRows rows) {
    return switch (sent.encode(rows)) {
      case HostRows whole -> {
        received.recordFull(whole);
        yield whole;
      }
      case HostRooms rooms -> received.decode(rooms).orElseThrow();
      default -> throw new AssertionError("neither form of rows");
    };
  }

  @Test
  public void whoTheWorkersAreIsSaidOnce() {
    HostRowsEncoder rows = HostRowsEncoder.create();
    assertTrue(rows.encode(new HostRows(1, List.of(row("w", CAPACITY, 100)))) instanceof HostRows);
    Message second = rows.encode(new HostRows(2, List.of(row("w", CAPACITY, 90))));
    assertTrue(second instanceof HostRooms);
    assertTrue(second.toBytes().size() < 20, "bytes " + second.toBytes().size());
  }

  /** Workers come, go, change places and grow, by a seed. */
  @Test
  public void theOtherEndSeesWhatWasShown() {
    Random random = new Random(7);
    List<WorkerRow> workers = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      switch (random.nextInt(12)) {
        case 0 -> workers.add(row("w" + random.nextInt(5), CAPACITY, 1));
        case 1 -> workers.clear();
        case 2 -> java.util.Collections.shuffle(workers, random);
        case 3 ->
            workers.replaceAll(
                w -> row(w.workerId(), new Room(8_000 + w.free().cpuMilli(), 1, 0), 5));
        default -> workers.replaceAll(w -> row(w.workerId(), w.capacity(), random.nextInt(9_000)));
      }
      HostRows rows = new HostRows(i, workers);
      assertEquals(shown(rows), rows);
    }
  }

  @Test
  public void aShortFormOfOtherWorkersIsNotRead() {
    HostRowsDecoder fresh = HostRowsDecoder.create();
    assertEquals(
        fresh.decode(new HostRooms(1, List.of())), Optional.of(new HostRows(1, List.of())));
    HostRowsEncoder other = HostRowsEncoder.create();
    HostRows rows = new HostRows(1, List.of(row("w", CAPACITY, 100)));
    other.encode(rows);
    assertEquals(fresh.decode((HostRooms) other.encode(rows)), Optional.empty());
  }
}
