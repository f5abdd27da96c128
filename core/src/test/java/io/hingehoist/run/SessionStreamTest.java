package io.hingehoist.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.hingehoist.message.Message;
import io.hingehoist.message.OwnerBeat;
import io.hingehoist.message.RunRef;
import io.hingehoist.message.SessionAck;
import io.hingehoist.message.StopRun;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public final class SessionStreamTest {
  private static final Message FIRST = new StopRun(new RunRef("a", 1));
  private static final Message SECOND = new StopRun(new RunRef("b", 1));
  private static final Message BEAT = new OwnerBeat(1, true);

  @Test
  public void whatTheOtherEndLacksIsKeptInOrder() {
    SessionStream sender = SessionStream.create();
    sender.recordSent(FIRST);
    sender.recordSent(BEAT);
    sender.recordSent(SECOND);
    assertEquals(sender.unacknowledged(), List.of(FIRST, SECOND));
    sender.recordAcknowledged(1);
    assertEquals(sender.unacknowledged(), List.of(SECOND));
    sender.recordAcknowledged(1);
    assertEquals(sender.unacknowledged(), List.of(SECOND));
  }

  @Test
  public void onlyWhatIsSaidOnceCounts() {
    SessionStream receiver = SessionStream.create();
    receiver.recordReceived(FIRST);
    receiver.recordReceived(BEAT);
    assertEquals(receiver.receivedCount(), 1);
  }

  @Test
  public void anAcknowledgementIsDueFromTimeToTime() {
    SessionStream receiver = SessionStream.create();
    for (int i = 1; i < 32; i++) {
      assertEquals(receiver.recordReceived(FIRST), Optional.empty());
    }
    assertEquals(receiver.recordReceived(FIRST), Optional.of(new SessionAck(32)));
    assertEquals(receiver.recordReceived(FIRST), Optional.empty());
  }

  @Test
  public void moreThanWasSentCannotHaveCome() {
    SessionStream sender = SessionStream.create();
    sender.recordSent(FIRST);
    assertFalse(sender.recordAcknowledged(2));
    assertEquals(sender.unacknowledged(), List.of(FIRST));
  }
}
