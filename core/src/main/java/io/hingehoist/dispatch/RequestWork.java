package io.hingehoist.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;

/** A repeatable request. Not thread-safe: confined to the dispatch thread. */
final class RequestWork extends Work {
  private final RequestSpec spec;
  private final Set<String> agentIds = new LinkedHashSet<>();
  private boolean waiting = true;
  private boolean open = true;
  private boolean mayHaveRun;
  private boolean hedged;
  private boolean attemptLost;

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

  void markWaiting() {
    waiting = true;
  }

  void recordSent(String agentId) {
    waiting = false;
    mayHaveRun = true;
    agentIds.add(agentId);
  }

  /** Records that an agent did not run the request; returns whether no attempt is in flight. */
  boolean recordNotRun(String agentId) {
    agentIds.remove(agentId);
    if (agentIds.isEmpty() && !attemptLost) {
      mayHaveRun = false;
    }
    return agentIds.isEmpty();
  }

  /** Records an attempt without a result; returns whether no other attempt is in flight. */
  boolean recordLost(String agentId) {
    attemptLost = true;
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

  void markHedged() {
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
