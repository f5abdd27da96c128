package io.hingehoist.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The queue of work of one service that waits for a worker: weighted fair queueing between teams,
 * earliest deadline first within a team. Selecting the next piece takes time linear in the number
 * of teams. Not thread-safe: confined to the dispatch thread.
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
  private double queueVirtualTime;
  private int size;

  /** Returns the number of queued pieces, including those that no longer wait for a worker. */
  int size() {
    return size;
  }

  /**
   * Adds work.
   *
   * @param weight the team's share of the slots, relative to the weights of the other teams
   * @param maxInFlight the number of slots that the team may use at once; 0 for no limit
   */
  void add(Work work, long weight, long maxInFlight) {
    Team team = teams.computeIfAbsent(work.team(), name -> new Team());
    team.weight = weight;
    team.maxInFlight = maxInFlight == 0 ? Long.MAX_VALUE : maxInFlight;
    if (team.waiting.isEmpty()) {
      // A team gains no priority from the time during which it had no waiting work.
      team.virtualTime = Math.max(team.virtualTime, queueVirtualTime);
    }
    team.waiting.add(work);
    size++;
  }

  /** Returns the next piece of work without removing it. */
  Optional<Work> peek() {
    return nextTeam().map(team -> team.waiting.peek());
  }

  /** Removes the piece that {@link #peek} returned and counts it as in flight. */
  void removeSent() {
    Team team = nextTeam().orElseThrow();
    team.waiting.remove();
    team.inFlight++;
    queueVirtualTime = team.virtualTime;
    team.virtualTime += 1.0 / team.weight;
    size--;
  }

  /** Records that a piece of work of a team is no longer in flight. */
  void recordEnded(String teamName) {
    Team team = teams.get(teamName);
    if (team != null && team.inFlight > 0) {
      team.inFlight--;
    }
  }

  /** Records a piece of work in flight that was never in this queue. */
  void recordAdopted(String teamName) {
    teams.computeIfAbsent(teamName, name -> new Team()).inFlight++;
  }

  private Optional<Team> nextTeam() {
    Team best = null;
    for (Team team : teams.values()) {
      removeStale(team);
      boolean eligible = !team.waiting.isEmpty() && team.inFlight < team.maxInFlight;
      if (eligible && (best == null || team.virtualTime < best.virtualTime)) {
        best = team;
      }
    }
    return Optional.ofNullable(best);
  }

  private void removeStale(Team team) {
    while (!team.waiting.isEmpty() && !team.waiting.peek().isWaiting()) {
      team.waiting.remove();
      size--;
    }
  }
}
