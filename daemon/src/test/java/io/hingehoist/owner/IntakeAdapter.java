package io.hingehoist.owner;

import io.hingehoist.adapter.Adapter;
import io.hingehoist.adapter.JobIntake;
import io.hingehoist.adapter.OperatorCommands;
import io.hingehoist.adapter.WorkerCalls;
import io.hingehoist.adapter.WorkerRegistry;
import io.hingehoist.message.Bytes;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.HttpHandler;
import io.hingehoist.route.RouteTable;
import java.util.concurrent.CompletableFuture;

/** An adapter that only passes on the intake of jobs. */
record IntakeAdapter(CompletableFuture<JobIntake> intake) implements Adapter {
  @Override
  public String name() {
    return "intake";
  }

  @Override
  public HttpHandler callerHandler(JobIntake jobIntake) {
    intake.complete(jobIntake);
    return exchange -> exchange.abort();
  }

  @Override
  public RouteTable toRoutes(long version, Bytes configuration) {
    throw new UnsupportedOperationException();
  }

  @Override
  public HttpHandler operatorHandler(OperatorCommands commands) {
    throw new UnsupportedOperationException();
  }

  @Override
  public HttpHandler workerHandler(WorkerRegistry registry) {
    throw new UnsupportedOperationException();
  }

  @Override
  public WorkerCalls workerCalls(EventLoop loop, String ownAddress) {
    throw new UnsupportedOperationException();
  }
}
