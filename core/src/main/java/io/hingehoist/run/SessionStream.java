package io.hingehoist.run;

import io.hingehoist.message.Message;
import io.hingehoist.message.RunEnded;
import io.hingehoist.message.RunNotStarted;
import io.hingehoist.message.SessionAck;
import io.hingehoist.message.SessionOpened;
import io.hingehoist.message.StartRuns;
import io.hingehoist.message.StopRun;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * One end of a session between an owner and a host, which delivers messages exactly once and in
 * order across successive connections.
 *
 * <p>A connection may fail without notice while orders and reports of ended runs are in flight.
 * Each end therefore counts the messages that it sends and receives, and keeps those that the other
 * end has not acknowledged. On the next connection each end states how many it has received, and
 * the other sends the rest. Only messages that are sent once take part; rows, heartbeats and
 * waiting tasks are sent repeatedly anyway. The number of kept messages is bounded because the
 * session ends with the lease. Not thread-safe.
 */
public final class SessionStream {
  /** Bounds the number of kept messages at the cost of one more message in 32. */
  private static final int MESSAGES_PER_ACK = 32;

  private final Deque<Message> unacknowledged = new ArrayDeque<>();
  private long sentCount;
  private long receivedCount;
  private long acknowledgedCount;

  private SessionStream() {}

  /** Creates the state of a new session. */
  public static SessionStream create() {
    return new SessionStream();
  }

  /** Records a message that is sent on the current connection or, if there is none, on the next. */
  public void recordSent(Message message) {
    if (isSequenced(message)) {
      unacknowledged.add(message);
      sentCount++;
    }
  }

  /** Records a received message; returns an acknowledgement if one is due. */
  public Optional<SessionAck> recordReceived(Message message) {
    if (!isSequenced(message)) {
      return Optional.empty();
    }
    receivedCount++;
    if (receivedCount - acknowledgedCount < MESSAGES_PER_ACK) {
      return Optional.empty();
    }
    acknowledgedCount = receivedCount;
    return Optional.of(new SessionAck(receivedCount));
  }

  /** Returns the number of sequenced messages that were received. */
  public long receivedCount() {
    return receivedCount;
  }

  /** Returns the number of messages that the other end has not acknowledged. */
  public int unacknowledgedCount() {
    return unacknowledged.size();
  }

  /**
   * Discards the messages that the other end has received.
   *
   * @param receivedByOther the number of sequenced messages of this end that arrived there
   * @return false if that is more than were sent, so that it cannot belong to this session
   */
  public boolean recordAcknowledged(long receivedByOther) {
    if (receivedByOther > sentCount) {
      return false;
    }
    while (sentCount - unacknowledged.size() < receivedByOther) {
      unacknowledged.remove();
    }
    return true;
  }

  /** Returns, in order, the messages that the other end has not acknowledged. */
  public List<Message> unacknowledged() {
    return List.copyOf(unacknowledged);
  }

  private static boolean isSequenced(Message message) {
    return message instanceof StartRuns
        || message instanceof StopRun
        || message instanceof RunEnded
        || message instanceof RunNotStarted
        || message instanceof SessionOpened;
  }
}
