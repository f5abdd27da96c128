package io.hingehoist.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;

/** One repeatable request. Owned by {@link RequestDispatch}. */
final class RequestWork extends Work {
  private final RequestSpec spec;
  private final Set<String> agentIds = new LinkedHashSet<>();
  private boolean waiting = true;
  private boolean open = true;
  private boolean mayHaveRun;
  private boolean hedged;
  private boolean lostTry;

  RequestWork(long sequence, RequestSpec spec) {
    super(sequence);
    this.spec = spec;
  }

  RequestSpec spec() {
    return spec;
  }

  boolean isOpen() {
    return open;
  }

  void close() {
    open = false;
    waiting = false;
  }

  void await() {
    waiting = true;
  }

  void sentTo(String agentId) {
    waiting = false;
    mayHaveRun = true;
    agentIds.add(agentId);
  }

  /** Notes that an agent did not run the request; returns whether no other try is in flight. */
  boolean notRunBy(String agentId) {
    agentIds.remove(agentId);
    if (agentIds.isEmpty() && !lostTry) {
      mayHaveRun = false;
    }
    return agentIds.isEmpty();
  }

  /** Notes that a try ended without an answer; returns whether no other try is in flight. */
  boolean lostAt(String agentId) {
    lostTry = true;
    agentIds.remove(agentId);
    return agentIds.isEmpty();
  }

  Set<String> agentIds() {
    return agentIds;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  boolean isHedged() {
    return hedged;
  }

  void hedge() {
    hedged = true;
    waiting = true;
  }

  @Override
  String service() {
    return spec.service();
  }

  @Override
  String jobClass() {
    return spec.jobClass();
  }

  @Override
  String team() {
    return spec.team();
  }

  @Override
  long deadlineMs() {
    return spec.deadlineMs();
  }

  @Override
  boolean isWaiting() {
    return open && waiting;
  }
}
