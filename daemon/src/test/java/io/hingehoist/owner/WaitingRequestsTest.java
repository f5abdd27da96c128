package io.hingehoist.owner;

import static org.testng.Assert.assertEquals;

import io.hingehoist.log.DecisionLog;
import io.hingehoist.loop.SleepDetector;
import io.hingehoist.net.EventLoop;
import io.hingehoist.route.RouteLookup;
import io.hingehoist.route.RouteLookup.Result;
import io.hingehoist.wire.FreeAddresses;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests requests that wait for their route and are not jobs yet. The owner reaches no control
 * replica, so that it refuses them after a while if nothing else ends their wait.
 */
public final class WaitingRequestsTest {
  private static final long TIMEOUT_S = 10;
  private static final double LONG_STOP_TIMEOUT_S = 10;

  /** Shorter than the wait of a request whose route can't be looked up. */
  private static final double SHORT_STOP_TIMEOUT_S = 0.35;

  private static final Result DROPPED = new Result.Dropped("owner process was paused");

  private final AtomicLong sleptMs = new AtomicLong();
  private EventLoop loop;
  private DecisionLog log;
  private StartedOwner owner;

  @BeforeMethod
  public void open() {
    sleptMs.set(0);
    loop = EventLoop.start(Throwable::printStackTrace);
    log = StartedOwner.discardingLog();
  }

  private void startOwner(double stopTimeoutSeconds) throws Exception {
    SleepDetector detector =
        SleepDetector.of(EventLoop::nowMs, () -> EventLoop.nowMs() + sleptMs.get());
    owner = StartedOwner.start(loop, log, FreeAddresses.next(), stopTimeoutSeconds, detector);
  }

  @AfterMethod
  public void close() {
    loop.execute(owner.node()::close);
    loop.close();
    log.close();
  }

  /** Begins a lookup and runs an action in the same task of the loop. */
  private CompletableFuture<Result> lookUpAnd(Runnable action) {
    CompletableFuture<Result> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          owner.intake().beginLookup(RouteLookup.of("h", "/p/1", result::complete));
          action.run();
        });
    return result;
  }

  /** A request read before the sleep became a job after it, when its caller had gone elsewhere. */
  @Test
  public void aRequestThatWaitsWhileItsBoxSleepsIsDropped() throws Exception {
    startOwner(LONG_STOP_TIMEOUT_S);
    CompletableFuture<Result> result = lookUpAnd(() -> sleptMs.set(StartedOwner.RESUBMIT_AFTER_MS));
    assertEquals(result.get(TIMEOUT_S, TimeUnit.SECONDS), DROPPED);
  }

  @Test
  public void aRequestThatWaitsWhileItsProcessIsPausedIsDropped() throws Exception {
    startOwner(LONG_STOP_TIMEOUT_S);
    CompletableFuture<Result> result = lookUpAnd(StartedOwner::pauseUntilLeaseIsOver);
    assertEquals(result.get(TIMEOUT_S, TimeUnit.SECONDS), DROPPED);
  }

  /** Its connection was closed without a response at the end of the process. */
  @Test
  public void aRequestThatWaitsAtTheEndOfAPlannedStopIsRefused() throws Exception {
    startOwner(SHORT_STOP_TIMEOUT_S);
    CompletableFuture<Result> result = lookUpAnd(() -> {});
    owner.node().stop();
    assertEquals(
        result.get(TIMEOUT_S, TimeUnit.SECONDS),
        new Result.Unavailable("this box is about to stop"));
  }
}
