package io.hingehoist.worker;

import io.hingehoist.message.Message;

/** An action that a {@link TaskLedger} asks its caller to carry out. */
public sealed interface LedgerEffect {

  /** Sends a message on a connection, if it is still open. */
  record Send(long connectionId, Message message) implements LedgerEffect {}

  /** Runs a payload at the backend server, once. */
  record Run(RunKey key, String payload, long timeoutMs) implements LedgerEffect {}
}
