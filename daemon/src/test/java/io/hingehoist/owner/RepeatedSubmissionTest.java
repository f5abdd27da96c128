package io.hingehoist.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.adapter.JobIntake;
import io.hingehoist.log.DecisionLog;
import io.hingehoist.message.Room;
import io.hingehoist.net.EventLoop;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import io.hingehoist.run.StepPlan;
import io.hingehoist.wire.FreeAddresses;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a job that is submitted again in the iteration of the event loop in which it ends. */
public final class RepeatedSubmissionTest {
  private static final long TIMEOUT_S = 10;
  private static final String JOB = "0123456789abcdef";
  private static final String QUEUE = "q";

  private final BlockingQueue<Throwable> errors = new LinkedBlockingQueue<>();
  private EventLoop loop;
  private DecisionLog log;
  private OwnerNode owner;
  private JobIntake intake;

  @BeforeMethod
  public void open() throws Exception {
    errors.clear();
    loop = EventLoop.start(errors::add);
    log = StartedOwner.discardingLog();
    StartedOwner started = StartedOwner.start(loop, log, FreeAddresses.next());
    owner = started.node();
    intake = started.intake();
  }

  @AfterMethod
  public void close() {
    loop.execute(owner::close);
    loop.close();
    log.close();
  }

  private static JobPlan plan() {
    StepPlan step = StepPlan.of(1, new Room(100, 10, 0), 50);
    return new JobPlan(JOB, QUEUE, "s", "", 0, 3, 10_000, 10_000, List.of(step));
  }

  private <T> T onLoop(Supplier<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(action.get()));
    return result.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private static JobIntake.Waiter into(BlockingQueue<JobEnd> ends) {
    return ends::add;
  }

  /** A job submitted between the end of its run and the answer ran again, for nobody. */
  @Test
  public void aSubmissionBetweenTheEndOfAJobAndItsAnswerGetsThatAnswer() throws Exception {
    BlockingQueue<JobEnd> first = new LinkedBlockingQueue<>();
    BlockingQueue<JobEnd> second = new LinkedBlockingQueue<>();
    onLoop(
        () -> {
          intake.submit(plan(), into(first));
          intake.cancel(JOB);
          intake.submit(plan(), into(second));
          return true;
        });
    assertEquals(first.poll(TIMEOUT_S, TimeUnit.SECONDS), new JobEnd.Cancelled());
    assertEquals(second.poll(TIMEOUT_S, TimeUnit.SECONDS), new JobEnd.Cancelled());
    assertEquals(onLoop(() -> intake.unstartedJobCount(QUEUE)), 0L);
    assertFalse(onLoop(() -> intake.cancel(JOB)));
    assertTrue(errors.isEmpty(), errors.toString());
  }

  /** A job whose caller came back at once was dropped, and its stopped run was not awaited. */
  @Test
  public void aJobWhoseCallerComesBackAtOnceContinues() throws Exception {
    BlockingQueue<JobEnd> second = new LinkedBlockingQueue<>();
    JobIntake.Waiter leaving = into(new LinkedBlockingQueue<>());
    onLoop(
        () -> {
          intake.submit(plan(), leaving);
          intake.removeWaiter(JOB, leaving);
          intake.submit(plan(), into(second));
          return true;
        });
    assertEquals(onLoop(() -> intake.unstartedJobCount(QUEUE)), 1L);
    assertTrue(second.isEmpty());
    assertTrue(onLoop(() -> intake.cancel(JOB)));
    assertEquals(second.poll(TIMEOUT_S, TimeUnit.SECONDS), new JobEnd.Cancelled());
  }

  @Test
  public void aJobWhoseCallerLeavesIsDropped() throws Exception {
    JobIntake.Waiter leaving = into(new LinkedBlockingQueue<>());
    onLoop(
        () -> {
          intake.submit(plan(), leaving);
          return true;
        });
    onLoop(
        () -> {
          intake.removeWaiter(JOB, leaving);
          return true;
        });
    assertEquals(onLoop(() -> intake.unstartedJobCount(QUEUE)), 0L);
    assertFalse(onLoop(() -> intake.hasJob(JOB)));
  }
}
