package io.hingehoist.entry;

import io.hingehoist.client.ControlClient;
import io.hingehoist.client.Leases;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.MemberRefused;
import io.hingehoist.command.RegisterEntry;
import io.hingehoist.message.HeartbeatRequest;
import io.hingehoist.message.HeartbeatResponse;
import io.hingehoist.message.MembersUpdate;
import io.hingehoist.message.OwnedJob;
import io.hingehoist.message.Role;
import io.hingehoist.message.SettingsUpdate;
import io.hingehoist.settings.SettingsTree;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * The session of an entry with the control replicas: its incarnation, its lease, and the settings
 * and members as of that lease. Not thread-safe: confined to the dispatch thread.
 */
final class ControlSession {
  private static final Logger LOG = Logger.getLogger(ControlSession.class);
  private static final long HEARTBEAT_INTERVAL_MS = 250;

  /** Receives updates from the control replicas, on the dispatch thread. */
  interface Listener {
    void onSettings(SettingsTree tree);

    void onMembers(MembersUpdate members);

    void onLease(long expiresAtMs, long floorMs);

    void onAdopted(OwnedJob job);

    void onIncarnationEnded();
  }

  private final String entryId;
  private final String address;
  private final String zone;
  private final ControlClient control;
  private final Executor dispatchThread;
  private final Listener listener;
  private final Supplier<List<Long>> ownedJobIds;
  private SettingsTree settings = SettingsTree.empty();
  private boolean hasSettings;
  private long membersVersion = -1;
  private long incarnation = System.currentTimeMillis();
  private long lastSentAtMs;
  private boolean heartbeatPending;
  private boolean registrationPending;
  private boolean ended;
  private long sleepCount;

  ControlSession(
      String entryId,
      String address,
      String zone,
      ControlClient control,
      Executor dispatchThread,
      Listener listener,
      Supplier<List<Long>> ownedJobIds) {
    this.entryId = entryId;
    this.address = address;
    this.zone = zone;
    this.control = control;
    this.dispatchThread = dispatchThread;
    this.listener = listener;
    this.ownedJobIds = ownedJobIds;
  }

  long incarnation() {
    return incarnation;
  }

  SettingsTree settings() {
    return settings;
  }

  /** Sends a heartbeat if one is due. */
  void onTick(long nowMs) {
    if (ended || heartbeatPending || nowMs - lastSentAtMs < HEARTBEAT_INTERVAL_MS) {
      return;
    }
    heartbeatPending = true;
    lastSentAtMs = nowMs;
    long sentIncarnation = incarnation;
    long sleepCountAtSend = sleepCount;
    // As long as no settings are held, a revision that never exists makes the leader send the whole
    // tree.
    long revision = hasSettings ? settings.revision() : -1;
    List<Long> owned = ownedJobIds.get();
    control
        .heartbeat(
            id ->
                new HeartbeatRequest(
                    id,
                    Role.ENTRY,
                    entryId,
                    sentIncarnation,
                    false,
                    revision,
                    membersVersion,
                    owned))
        .whenComplete(
            (response, failure) ->
                dispatchThread.execute(
                    () -> {
                      heartbeatPending = false;
                      if (response != null && isCurrent(sentIncarnation, sleepCountAtSend)) {
                        onResponse(response, nowMs);
                      }
                    }));
  }

  /**
   * Records that this box may have been asleep: responses to earlier heartbeats no longer renew the
   * lease.
   */
  void recordSleep() {
    sleepCount++;
    lastSentAtMs = 0;
  }

  /** Ends the session before a planned stop, so that no new incarnation is registered. */
  void end() {
    ended = true;
  }

  private boolean isCurrent(long sentIncarnation, long sleepCountAtSend) {
    return !ended && sentIncarnation == incarnation && sleepCountAtSend == sleepCount;
  }

  private void onResponse(HeartbeatResponse response, long requestSentAtMs) {
    response.settings().ifPresent(this::applySettings);
    response.members().ifPresent(this::applyMembers);
    if (!response.registered()) {
      register();
      return;
    }
    listener.onLease(Leases.expiresAtMs(response, requestSentAtMs), response.floorMs());
    response.adopted().forEach(listener::onAdopted);
  }

  private void applySettings(SettingsUpdate update) {
    if (hasSettings && update.revision() < settings.revision()) {
      return;
    }
    SettingsTree base = update.snapshot() ? SettingsTree.empty() : settings;
    settings = base.with(update.revision(), update.entries());
    hasSettings = true;
    listener.onSettings(settings);
  }

  private void applyMembers(MembersUpdate update) {
    if (update.version() > membersVersion) {
      membersVersion = update.version();
      listener.onMembers(update);
    }
  }

  private void register() {
    if (registrationPending) {
      return;
    }
    registrationPending = true;
    control
        .propose(new RegisterEntry(entryId, incarnation, address, zone))
        .thenAccept(result -> dispatchThread.execute(() -> onRegistered(result)));
  }

  private void onRegistered(CommandResult result) {
    registrationPending = false;
    lastSentAtMs = 0;
    if (result instanceof MemberRefused refused) {
      incarnation = Leases.nextIncarnation(refused);
      LOG.infof("event=incarnationRenewed entry=%s incarnation=%d", entryId, incarnation);
      listener.onIncarnationEnded();
    }
  }
}
