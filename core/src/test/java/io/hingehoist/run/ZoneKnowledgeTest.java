package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.EvacuatedZones;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

public final class ZoneKnowledgeTest {
  private static EvacuatedZones zones(long version, String... names) {
    return new EvacuatedZones(version, List.of(names));
  }

  @Test
  public void nothingMayStartBeforeAnythingWasHeard() {
    ZoneKnowledge knowledge = ZoneKnowledge.create();
    assertFalse(knowledge.allowsStartsIn("z1"));
    assertTrue(knowledge.learn(zones(0), 1_000));
    assertTrue(knowledge.allowsStartsIn("z1"));
  }

  @Test
  public void anOlderWordChangesNothing() {
    ZoneKnowledge knowledge = ZoneKnowledge.create();
    knowledge.learn(zones(2, "z1"), 1_000);
    assertFalse(knowledge.learn(zones(1), 2_000));
    assertFalse(knowledge.learn(zones(2, "z1"), 2_000));
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
      List<ZoneKnowledge> processes =
          List.of(ZoneKnowledge.create(), ZoneKnowledge.create(), ZoneKnowledge.create());
      List<EvacuatedZones> versions = List.of(zones(1, "z1"), zones(2), zones(3, "z1", "z2"));
      // The first process is told by replicas, in any order; the second reaches only the first.
      for (int told = 0; told < 30; told++) {
        EvacuatedZones heard = versions.get(told < 29 ? random.nextInt(versions.size()) : 2);
        if (processes.get(0).learn(heard, told) && processes.get(1).learn(heard, told)) {
          processes.get(2).learn(heard, told);
        }
      }
      for (ZoneKnowledge process : processes) {
        assertEquals(process.newest().orElseThrow(), versions.get(2), "seed " + seed);
      }
    }
  }
}
