package io.hingehoist.quorum;

import io.hingehoist.message.Announce;
import io.hingehoist.message.Message;
import io.hingehoist.wire.MessageSink;
import java.util.List;

/** An event that other threads put into the queue of the control thread. */
sealed interface ControlEvent {

  /** Another replica sent a message. */
  record FromReplica(Message message) implements ControlEvent {}

  /** An entry or agent, or an adapter in this process, sent a request. */
  record FromClient(MessageSink client, Message message) implements ControlEvent {}

  /** A process announced itself. */
  record Announced(MessageSink sender, Announce announce) implements ControlEvent {}

  /** The reloaded settings list the addresses of replicas. */
  record AddressesChanged(List<String> addresses) implements ControlEvent {}

  /** The platform's list of boxes was read. */
  record Platform(PlatformList.Boxes boxes) implements ControlEvent {}
}
