package io.hingehoist.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.command.ChangeZone;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.RegisterAgent;
import io.hingehoist.command.ZoneAccepted;
import io.hingehoist.command.ZoneRefused;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.EvacuatedZones;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.MemberState;
import io.hingehoist.message.MembersUpdate;
import io.hingehoist.state.AuditRow;
import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

public final class EvacuationTableTest {
  private static CommandResult apply(ControlState state, Bytes command) {
    return state.apply(new LogEntry(1, 1, EntryKind.COMMAND, 0, command));
  }

  private static CommandResult evacuate(ControlState state, String zone) {
    return apply(state, new ChangeZone(zone, true, "ann").toBytes());
  }

  private static CommandResult restore(ControlState state, String zone) {
    return apply(state, new ChangeZone(zone, false, "bob").toBytes());
  }

  @Test
  public void aRepeatedCommandIsAcceptedAgainAndChangesNothing() {
    ControlState state = ControlState.create();
    assertEquals(evacuate(state, "z1"), new ZoneAccepted(1));
    assertEquals(evacuate(state, "z1"), new ZoneAccepted(1));
    assertEquals(state.evacuatedZones(), new EvacuatedZones(1, List.of("z1")));
    assertEquals(restore(state, "z1"), new ZoneAccepted(2));
    assertEquals(restore(state, "z1"), new ZoneAccepted(2));
    assertEquals(state.evacuatedZones(), new EvacuatedZones(2, List.of()));
  }

  @Test
  public void aZoneThatWasNeverEvacuatedMayBeRestored() {
    ControlState state = ControlState.create();
    assertEquals(restore(state, "z1"), new ZoneAccepted(0));
  }

  @Test
  public void zonesAreEvacuatedIndependently() {
    ControlState state = ControlState.create();
    evacuate(state, "z2");
    evacuate(state, "z1");
    restore(state, "z2");
    assertEquals(state.evacuatedZones(), new EvacuatedZones(3, List.of("z1")));
  }

  @Test
  public void anEvacuationBeyondTheLimitIsRefusedAndChangesNothing() {
    ControlState state = ControlState.create();
    for (int i = 0; i < EvacuationTable.MAX_ZONES; i++) {
      evacuate(state, "z" + i);
    }
    CommandResult result = evacuate(state, "another");
    assertTrue(result instanceof ZoneRefused, result.toString());
    assertTrue(((ZoneRefused) result).detail().startsWith("zone: value \"another\""));
    assertEquals(state.evacuatedZones().zones().size(), EvacuationTable.MAX_ZONES);
    assertEquals(evacuate(state, "z1"), new ZoneAccepted(EvacuationTable.MAX_ZONES));
  }

  @Test
  public void evacuationsAreRestoredFromASnapshotAlsoWhenNoneIsLeft() throws IOException {
    ControlState state = ControlState.create();
    evacuate(state, "z1");
    assertEquals(
        ControlState.fromBytes(state.toBytes()).evacuatedZones(),
        new EvacuatedZones(1, List.of("z1")));
    restore(state, "z1");
    assertEquals(
        ControlState.fromBytes(state.toBytes()).evacuatedZones(), new EvacuatedZones(2, List.of()));
  }

  @Test
  public void theAuditTrailRecordsWhoChangedAZone() {
    ControlState state = ControlState.create();
    evacuate(state, "z1");
    evacuate(state, "z1");
    restore(state, "z1");
    List<String> lines =
        state.audit().stream()
            .map(row -> row.actor() + ' ' + row.action() + ' ' + row.subject())
            .toList();
    assertEquals(lines, List.of("ann evacuateZone z1", "bob restoreZone z1"));
    AuditRow last = state.audit().getLast();
    assertEquals(last.before() + ' ' + last.after() + ' ' + last.revision(), "evacuated open 2");
  }

  @Test
  public void entriesSeeTheAgentsOfAnEvacuatedZoneAsDraining() {
    ControlState state = ControlState.create();
    apply(state, new RegisterAgent("a1", 1, "10.0.0.1:1", "z1", "s", 8, 64).toBytes());
    apply(state, new RegisterAgent("a2", 1, "10.0.0.2:1", "z2", "s", 8, 64).toBytes());
    MembersUpdate before = state.membersSince(-1).orElseThrow();
    evacuate(state, "z1");
    MembersUpdate after = state.membersSince(before.version()).orElseThrow();
    assertEquals(
        after.agents().stream().map(agent -> agent.state()).toList(),
        List.of(MemberState.DRAINING, MemberState.LIVE));
    restore(state, "z1");
    MembersUpdate restored = state.membersSince(after.version()).orElseThrow();
    assertEquals(
        restored.agents().stream().map(agent -> agent.state()).toList(),
        List.of(MemberState.LIVE, MemberState.LIVE));
  }
}
