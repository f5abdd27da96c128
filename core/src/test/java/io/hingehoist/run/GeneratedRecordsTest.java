package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.hingehoist.message.HostRows;
import io.hingehoist.message.Room;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.WorkerRow;
import io.hingehoist.message.WorkerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Checks that generated records are values: equal if all fields are, and usable as map keys. */
public class GeneratedRecordsTest {

  private static WorkerRow row(long cpuMilli, WorkerState state) {
    Room room = new Room(cpuMilli, 64, 0);
    return new WorkerRow("w", "porting", "z", List.of("a"), room, room, state, 0);
  }

  @Test
  public void recordsWithEqualFieldsAreEqual() {
    HostRows one = new HostRows(7, List.of(row(16_000, WorkerState.READY)));
    HostRows other = new HostRows(7, List.of(row(16_000, WorkerState.READY)));

    assertEquals(one, other);
    assertEquals(one.hashCode(), other.hashCode());
  }

  @Test
  public void recordsThatDifferInOneFieldAreNotEqual() {
    assertNotEquals(new Room(1, 2, 3), new Room(9, 2, 3));
    assertNotEquals(new Room(1, 2, 3), new Room(1, 9, 3));
    assertNotEquals(new Room(1, 2, 3), new Room(1, 2, 9));
    assertNotEquals(row(16_000, WorkerState.READY), row(16_000, WorkerState.SILENT));
    assertNotEquals(new RunRef("t", 1), new Room(1, 2, 3));
  }

  @Test
  public void recordsAreUsableAsMapKeys() {
    Map<RunRef, String> names = new HashMap<>();
    names.put(new RunRef("t", 1), "first");
    names.put(new RunRef("t", 2), "second");

    assertEquals(names.get(new RunRef("t", 1)), "first");
    assertEquals(names.get(new RunRef("t", 2)), "second");
  }
}
