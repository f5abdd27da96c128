package io.hingehoist.run.owner;

/**
 * Determines whether an owner may continue after its box may have been asleep.
 *
 * <p>If the box slept for as long as the owner's lease, hosts have stopped the owner's runs and
 * callers have turned to other owners, so the owner must neither start runs nor answer jobs. A host
 * that confirms its session with the owner proves that the lease did not expire. Not thread-safe.
 */
public final class SleepCheck {
  /** Several round trips to a healthy host, yet short compared with the time of a job. */
  private static final long PROOF_TIMEOUT_MS = 300;

  private boolean pending;
  private long lastProbeNumber;
  private int sentProbeCount;
  private long startedAtMs;

  private SleepCheck() {}

  /** Creates a check that is not pending. */
  public static SleepCheck create() {
    return new SleepCheck();
  }

  /** Returns the number of the next probe. */
  public long nextProbeNumber() {
    return lastProbeNumber + 1;
  }

  /**
   * Starts a check; returns the number that a proof must carry.
   *
   * @param probeCount the number of hosts that were sent a probe with {@link #nextProbeNumber}
   */
  public long begin(int probeCount, long nowMs) {
    pending = true;
    sentProbeCount = probeCount;
    startedAtMs = nowMs;
    return ++lastProbeNumber;
  }

  /** Handles a host's proof that its session with this owner is still open. */
  public void proofReceived(long proofNumber) {
    if (proofNumber == lastProbeNumber) {
      pending = false;
    }
  }

  /** Returns whether the check is pending, during which the owner must send nothing. */
  public boolean isPending() {
    return pending;
  }

  /** Returns whether a pending check received no proof in time; if so, the check ends. */
  public boolean hasSlept(long nowMs) {
    boolean slept = pending && (sentProbeCount == 0 || nowMs - startedAtMs >= PROOF_TIMEOUT_MS);
    if (slept) {
      pending = false;
    }
    return slept;
  }
}
