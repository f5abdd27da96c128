package io.hingehoist.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The work of one service that waits for a worker: fair between teams, earliest deadline first
 * within a team. Choosing costs time in the number of teams with waiting work. Not thread-safe: the
 * dispatch thread owns it.
 */
final class WorkQueue {
  private static final Comparator<Work> EARLIEST_DEADLINE_FIRST =
      Comparator.comparingLong(Work::deadlineMs).thenComparingLong(Work::sequence);

  private static final class Team {
    private final PriorityQueue<Work> waiting = new PriorityQueue<>(EARLIEST_DEADLINE_FIRST);
    private long weight = 1;
    private long maxInFlight = Long.MAX_VALUE;
    private long inFlight;
    private double virtualTime;
  }

  private final Map<String, Team> teams = new HashMap<>();
  private double virtualNow;
  private int size;

  /** Returns the number of pieces that wait, stale ones included. */
  int size() {
    return size;
  }

  /**
   * Adds work.
   *
   * @param weight the share of the team
   * @param maxInFlight the most slots that the team uses at once; 0 for no limit
   */
  void add(Work work, long weight, long maxInFlight) {
    Team team = teams.computeIfAbsent(work.team(), name -> new Team());
    team.weight = weight;
    team.maxInFlight = maxInFlight == 0 ? Long.MAX_VALUE : maxInFlight;
    if (team.waiting.isEmpty()) {
      // A team that was idle does not get the time back that it did not use.
      team.virtualTime = Math.max(team.virtualTime, virtualNow);
    }
    team.waiting.add(work);
    size++;
  }

  /** Returns the next piece of work without removing it. */
  Optional<Work> peek() {
    return nextTeam().map(team -> team.waiting.peek());
  }

  /** Removes the piece that {@link #peek} returned, as sent to a worker. */
  void removeSent() {
    Team team = nextTeam().orElseThrow();
    team.waiting.remove();
    team.inFlight++;
    virtualNow = team.virtualTime;
    team.virtualTime += 1.0 / team.weight;
    size--;
  }

  /** Notes that a piece of work of a team is no longer in flight. */
  void noteEnded(String teamName) {
    Team team = teams.get(teamName);
    if (team != null && team.inFlight > 0) {
      team.inFlight--;
    }
  }

  /** Notes that a piece of work is in flight which was never queued here. */
  void noteAdopted(String teamName) {
    teams.computeIfAbsent(teamName, name -> new Team()).inFlight++;
  }

  private Optional<Team> nextTeam() {
    Team best = null;
    for (Team team : teams.values()) {
      dropStale(team);
      boolean eligible = !team.waiting.isEmpty() && team.inFlight < team.maxInFlight;
      if (eligible && (best == null || team.virtualTime < best.virtualTime)) {
        best = team;
      }
    }
    return Optional.ofNullable(best);
  }

  private void dropStale(Team team) {
    while (!team.waiting.isEmpty() && !team.waiting.peek().isWaiting()) {
      team.waiting.remove();
      size--;
    }
  }
}
