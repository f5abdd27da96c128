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
  public void nothingMayStartBeforeAnythingWasHeard() {
    EvacuatedZonesView knowledge = EvacuatedZonesView.create();
    assertFalse(knowledge.allowsStartsIn("z1"));
    assertTrue(knowledge.update(zones(0), 1_000));
    assertTrue(knowledge.allowsStartsIn("z1"));
  }

  @Test
  public void anOlderWordChangesNothing() {
    EvacuatedZonesView knowledge = EvacuatedZonesView.create();
    knowledge.update(zones(2, "z1"), 1_000);
    assertFalse(knowledge.update(zones(1), 2_000));
    assertFalse(knowledge.update(zones(2, "z1"), 2_000));
    assertFalse(knowledge.allowsStartsIn("z1"));
    assertTrue(knowledge.allowsStartsIn("z2"));
    assertEquals(knowledge.ageMs(3_000), 2_000);
  }

  /**
   * Processes pass on what is news to them. However the words overtake each other, all end with the
   * highest version, and nobody says the same twice.
   */
  @Test
  public void wordsThatArePassedOnInAnyOrderEndWithTheHighestVersion() {
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      List<EvacuatedZonesView> processes =
          List.of(
              EvacuatedZonesView.create(),
              EvacuatedZonesView.create(),
              EvacuatedZonesView.create());
      List<EvacuatedZones> versions = List.of(zones(1, "z1"), zones(2), zones(3, "z1", "z2"));
      // The first process is told by replicas, in any order; the second reaches only the first.
      for (int told = 0; told < 30; told++) {
        EvacuatedZones heard = versions.get(told < 29 ? random.nextInt(versions.size()) : 2);
        if (processes.get(0).update(heard, told) && processes.get(1).update(heard, told)) {
          processes.get(2).update(heard, told);
        }
      }
      for (EvacuatedZonesView process : processes) {
        assertEquals(process.newest().orElseThrow(), versions.get(2), "seed " + seed);
      }
    }
  }
}
