package io.hingehoist.adapter;

import io.hingehoist.message.Bytes;
import java.util.Optional;
import java.util.function.Consumer;

/** What a control replica offers to operators. Used on the event loop. */
public interface Configurations {

  /** What became of a request to the log. */
  sealed interface Result {
    /** The version is held, or a higher one is. */
    record Accepted(long heldVersion) implements Result {}

    /** The version is held with another content. */
    record Conflict(long heldVersion) implements Result {}

    /** The newest version; 0 and nothing if there is none. */
    record Newest(long version, Bytes content) implements Result {}

    /** Another replica leads; its address for frames is given if it is known. */
    record Elsewhere(Optional<String> leaderAddress) implements Result {}

    /** Nothing is known: the request may have been carried out. */
    record Unknown() implements Result {}
  }

  /** Publishes a version of the configuration. */
  void publish(long version, Bytes content, Consumer<Result> result);

  /** Reads the newest configuration, confirmed by a quorum. */
  void readNewest(Consumer<Result> result);
}
