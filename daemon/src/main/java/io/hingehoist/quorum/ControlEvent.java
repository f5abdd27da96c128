package io.hingehoist.quorum;

import io.hingehoist.message.Message;
import io.hingehoist.wire.FrameConnection;

/** Something that traffic threads hand to the control thread. */
sealed interface ControlEvent {

  /** Another replica sent a message. */
  record FromReplica(Message message) implements ControlEvent {}

  /** An entry or agent sent a request. */
  record FromClient(FrameConnection connection, Message message) implements ControlEvent {}

  /** The platform's list of boxes was read. */
  record Platform(PlatformList.Boxes boxes) implements ControlEvent {}
}
