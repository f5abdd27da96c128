package io.hingehoist.adapter;

import io.hingehoist.message.Bytes;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The commands of operators that a control replica accepts. Not thread-safe: confined to the event
 * loop, on which the results are passed on too.
 */
public interface OperatorCommands {

  /** The result of a command. */
  sealed interface Result {
    /**
     * The command is committed to the replicated log.
     *
     * @param heldVersion the stored version of the configuration or of the evacuated zones
     */
    record Accepted(long heldVersion) implements Result {}

    /** The version is already stored with different content. */
    record Conflict(long heldVersion) implements Result {}

    /** The command was refused and has changed nothing. */
    record Refused(String reason) implements Result {}

    /** The newest version and its content; 0 and empty if there is none. */
    record Newest(long version, Bytes content) implements Result {}

    /**
     * This replica is not the leader. The address at which the leader accepts frames is given if it
     * is known.
     */
    record NotLeader(Optional<String> leaderAddress) implements Result {}

    /** The outcome is not known: the command may have been applied. */
    record Unknown() implements Result {}
  }

  /** Evacuates an availability zone, so that no new work is started there. */
  void evacuate(String zone, Consumer<Result> result);

  /** Restores an evacuated availability zone, so that it is used again. */
  void restore(String zone, Consumer<Result> result);

  /** Publishes a version of the configuration. */
  void publish(long version, Bytes content, Consumer<Result> result);

  /** Reads the newest configuration, confirmed by a quorum. */
  void readNewest(Consumer<Result> result);
}
