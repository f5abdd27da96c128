package io.hingehoist.control;

import static org.testng.Assert.assertEquals;

import io.hingehoist.command.CommandResult;
import io.hingehoist.command.DocumentAccepted;
import io.hingehoist.command.DocumentConflict;
import io.hingehoist.command.PublishDocument;
import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import java.io.IOException;
import org.testng.annotations.Test;

public final class DocumentTableTest {
  private static final Bytes FIRST_CONTENT = Bytes.copyOf(new byte[] {1});
  private static final Bytes SECOND_CONTENT = Bytes.copyOf(new byte[] {2});

  private static CommandResult publish(ControlState state, long version, Bytes content) {
    Bytes command = new PublishDocument("d", version, content).toBytes();
    return state.apply(new LogEntry(1, version, EntryKind.COMMAND, 0, command));
  }

  @Test
  public void theHighestVersionIsKept() {
    ControlState state = ControlState.create();
    assertEquals(publish(state, 5, FIRST_CONTENT), new DocumentAccepted(5));
    assertEquals(publish(state, 9, SECOND_CONTENT), new DocumentAccepted(9));
    assertEquals(state.document("d").orElseThrow().content(), SECOND_CONTENT);
  }

  @Test
  public void aLowerVersionIsAcknowledgedAndChangesNothing() {
    ControlState state = ControlState.create();
    publish(state, 9, SECOND_CONTENT);
    assertEquals(publish(state, 5, FIRST_CONTENT), new DocumentAccepted(9));
    assertEquals(state.document("d").orElseThrow().content(), SECOND_CONTENT);
  }

  @Test
  public void theCurrentVersionIsAcknowledgedAgainOnlyWithTheSameContent() {
    ControlState state = ControlState.create();
    publish(state, 9, SECOND_CONTENT);
    assertEquals(publish(state, 9, SECOND_CONTENT), new DocumentAccepted(9));
    assertEquals(publish(state, 9, FIRST_CONTENT), new DocumentConflict(9));
    assertEquals(state.document("d").orElseThrow().content(), SECOND_CONTENT);
  }

  @Test
  public void documentsAreRestoredFromASnapshot() throws IOException {
    ControlState state = ControlState.create();
    publish(state, 9, SECOND_CONTENT);
    ControlState restored = ControlState.fromBytes(state.toBytes());
    assertEquals(restored.document("d"), state.document("d"));
  }
}
