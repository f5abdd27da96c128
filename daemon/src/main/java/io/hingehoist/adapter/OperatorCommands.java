package io.hingehoist.adapter;

import io.hingehoist.message.Bytes;
import java.util.Optional;
import java.util.function.Consumer;

/** What a control replica offers to operators. Used on the event loop. */
public interface OperatorCommands {

  /** What became of a request to the log. */
  sealed interface Result {
    /**
     * The order is in the log.
     *
     * @param heldVersion the version of the configuration, or of the evacuations, that is held
     */
    record Accepted(long heldVersion) implements Result {}

    /** The version is held with another content. */
    record Conflict(long heldVersion) implements Result {}

    /** The order can't be taken, and has changed nothing. */
    record Refused(String reason) implements Result {}

    /** The newest version; 0 and nothing if there is none. */
    record Newest(long version, Bytes content) implements Result {}

    /** Another replica leads; its address for frames is given if it is known. */
    record NotLeader(Optional<String> leaderAddress) implements Result {}

    /** Nothing is known: the request may have been carried out. */
    record Unknown() implements Result {}
  }

  /** Evacuates an availability zone, so that nothing more is started there. */
  void evacuate(String zone, Consumer<Result> result);

  /** Lets an evacuated availability zone be used again. */
  void restore(String zone, Consumer<Result> result);

  /** Publishes a version of the configuration. */
  void publish(long version, Bytes content, Consumer<Result> result);

  /** Reads the newest configuration, confirmed by a quorum. */
  void readNewest(Consumer<Result> result);
}
