package io.hingehoist.run.host;

import static org.testng.Assert.assertEquals;

import io.hingehoist.message.SessionProof;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests how a host answers the probe of an owner that may have slept. The owner continues with its
 * jobs on the strength of the answer, so its lease must not have expired meanwhile.
 */
public final class OwnerProbeTest {
  private static final long SESSION = HostFixture.SESSION;
  private static final long PROBE = 5;
  private static final long BEAT_MS = 1_000;
  private static final long EXPIRES_MS = BEAT_MS + HostFixture.TIMING.ownerLeaseMs();

  private HostFixture fixture;

  @BeforeMethod
  public void openSession() {
    fixture = HostFixture.startedLongBefore(BEAT_MS);
    fixture.host.sessionOpened(SESSION, "o", BEAT_MS);
    fixture.host.ownerHeartbeat(SESSION, BEAT_MS, true, BEAT_MS);
    fixture.collectEffects(BEAT_MS);
  }

  private int proofsFor(long probeAtMs) {
    fixture.host.probeReceived(SESSION, PROBE, probeAtMs);
    fixture.collectEffects(probeAtMs);
    return fixture.sent(SessionProof.class).size();
  }

  @Test
  public void aProbeWithinTheLeaseIsAnswered() {
    assertEquals(proofsFor(EXPIRES_MS - 1), 1);
  }

  @Test
  public void aProbeAfterTheLeaseExpiredIsNotAnswered() {
    assertEquals(proofsFor(EXPIRES_MS), 0);
  }

  @Test
  public void aProbeOfASessionWithoutRunsThatOutlastsItsLeaseIsNotAnswered() {
    fixture.host.onTick(EXPIRES_MS + 1_000);
    fixture.collectEffects(EXPIRES_MS + 1_000);
    assertEquals(fixture.all(HostEffect.CloseSession.class).size(), 0);
    assertEquals(proofsFor(EXPIRES_MS + 1_001), 0);
  }
}
