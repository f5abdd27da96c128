package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.EvacuatedZones;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

public final class EvacuatedZonesViewTest {
  private static EvacuatedZones zones(long version, String... names) {
    return new EvacuatedZones(version, List.of(names));
  }

  @Test
  public void nothingMayStartBeforeTheFirstUpdate() {
    EvacuatedZonesView view = EvacuatedZonesView.create();
    assertFalse(view.allowsStartsIn("z1"));
    assertTrue(view.update(zones(0), 1_000));
    assertTrue(view.allowsStartsIn("z1"));
  }

  @Test
  public void anOlderVersionIsIgnored() {
    EvacuatedZonesView view = EvacuatedZonesView.create();
    view.update(zones(2, "z1"), 1_000);
    assertFalse(view.update(zones(1), 2_000));
    assertFalse(view.update(zones(2, "z1"), 2_000));
    assertFalse(view.allowsStartsIn("z1"));
    assertTrue(view.allowsStartsIn("z2"));
    assertEquals(view.ageMs(3_000), 2_000);
  }

  /**
   * Processes relay only updates that are newer to them. In whatever order updates arrive, all
   * processes converge on the highest version, and none relays a version twice.
   */
  @Test
  public void updatesRelayedInAnyOrderConvergeOnTheHighestVersion() {
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      List<EvacuatedZonesView> processes =
          List.of(
              EvacuatedZonesView.create(),
              EvacuatedZonesView.create(),
              EvacuatedZonesView.create());
      List<EvacuatedZones> versions = List.of(zones(1, "z1"), zones(2), zones(3, "z1", "z2"));
      // The first process receives updates from replicas in any order, the second only from the
      // first, and the third only from the second.
      for (int round = 0; round < 30; round++) {
        EvacuatedZones update = versions.get(round < 29 ? random.nextInt(versions.size()) : 2);
        if (processes.get(0).update(update, round) && processes.get(1).update(update, round)) {
          processes.get(2).update(update, round);
        }
      }
      for (EvacuatedZonesView process : processes) {
        assertEquals(process.newest().orElseThrow(), versions.get(2), "seed " + seed);
      }
    }
  }
}
