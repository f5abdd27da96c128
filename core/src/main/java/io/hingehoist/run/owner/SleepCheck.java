package io.hingehoist.run.owner;

/**
 * Whether an owner whose box may have slept may go on. If it slept as long as its lease, its hosts
 * have stopped its runs and its callers are elsewhere, so that it must start and answer nothing. A
 * host that still has its session proves that it did not. Not thread-safe.
 */
public final class SleepCheck {
  /** Some round trips to a host that is well, and short beside the time of a job. */
  private static final long PATIENCE_MS = 300;

  private boolean open;
  private long number;
  private int asked;
  private long sinceMs;

  private SleepCheck() {}

  /** Returns a doubt that is not open. */
  public static SleepCheck create() {
    return new SleepCheck();
  }

  /** Returns the number of the next probe. */
  public long nextProbeNumber() {
    return number + 1;
  }

  /**
   * Opens the doubt; returns the number that a proof must bear.
   *
   * @param hostsAsked the number of hosts that were sent a probe with {@link #nextProbeNumber}
   */
  public long begin(int hostsAsked, long nowMs) {
    open = true;
    asked = hostsAsked;
    sinceMs = nowMs;
    return ++number;
  }

  /** Takes a host's proof that its session with this owner goes on. */
  public void proofReceived(long proofNumber) {
    if (proofNumber == number) {
      open = false;
    }
  }

  /** Returns whether nothing may go out. */
  public boolean isPending() {
    return open;
  }

  /** Returns whether no proof came in time, and takes it that the doubt is settled by that. */
  public boolean hasSlept(long nowMs) {
    boolean slept = open && (asked == 0 || nowMs - sinceMs >= PATIENCE_MS);
    if (slept) {
      open = false;
    }
    return slept;
  }
}
