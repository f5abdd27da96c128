package io.hingehoist.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.hingehoist.route.RouteLookup.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class RouteLookupsTest {
  private static final long DOWNLOAD_TIMEOUT_MS = 400;
  private static final Route ROUTE = new Route("n", "h", "/n/", "s", 0, 1, 60, 1.6);
  private static final RouteTable OLD = RouteTable.of(1, List.of());
  private static final RouteTable NEW = RouteTable.of(2, List.of(ROUTE));

  private final List<String> ends = new ArrayList<>();
  private final List<String> results = new ArrayList<>();
  private RouteLookups lookups;

  @BeforeMethod
  public void create() {
    ends.clear();
    results.clear();
    lookups =
        RouteLookups.create(
            (lookup, result, waitedMs) ->
                ends.add(result.map(Object::toString).orElse("cancelled") + " " + waitedMs));
  }

  private RouteLookup begin(String name, String path) {
    RouteLookup lookup =
        RouteLookup.of(
            "h", path, result -> results.add(name + " " + result.getClass().getSimpleName()));
    lookups.begin(lookup, 0);
    return lookup;
  }

  private List<String> takeResults() {
    List<String> taken = List.copyOf(results);
    results.clear();
    return taken;
  }

  /** A job was submitted after a request that cancels it, as that found the route in force. */
  @Test
  public void aLookupIsCompletedAsSoonAsItsRouteIsInForce() {
    begin("post", "/n/1");
    begin("other", "/m/1");
    lookups.settleAll(NEW, 0);
    assertEquals(takeResults(), List.of("post Found"));
    assertFalse(lookups.isEmpty());
    lookups.completeAll(new Result.Dropped("end of test"), 0);
    assertTrue(lookups.isEmpty());
  }

  @Test
  public void theEndOfEachLookupIsReportedWithItsWait() {
    RouteLookup left = begin("left", "/n/1");
    begin("found", "/n/1");
    begin("dropped", "/m/1");
    lookups.cancel(left, 20);
    lookups.settleAll(NEW, 30);
    lookups.completeAll(new Result.Dropped("paused"), 40);
    assertEquals(
        ends,
        List.of("cancelled 20", new Result.Found(ROUTE) + " 30", "Dropped[reason=paused] 40"));
  }

  @Test
  public void resultsOfOnePathComeInTheOrderOfTheirRequests() {
    RouteLookup post = begin("post", "/n/1");
    RouteLookup delete = begin("delete", "/n/1");
    RouteLookup other = begin("other", "/n/2");
    lookups.versionReported(delete, 1, OLD, 0);
    lookups.versionReported(other, 1, OLD, 0);
    assertEquals(takeResults(), List.of("other NotFound"));
    lookups.versionReported(post, 2, OLD, 0);
    assertEquals(takeResults(), List.of());
    lookups.settleAll(NEW, 1);
    assertEquals(takeResults(), List.of("post Found", "delete Found"));
    assertTrue(lookups.isEmpty());
  }

  @Test
  public void aMissingReportRefusesItsRequest() {
    RouteLookup lookup = begin("a", "/n/1");
    lookups.versionMissing(lookup, OLD, 0);
    assertEquals(takeResults(), List.of("a Unavailable"));
  }

  @Test
  public void routesThatDoNotArriveInTimeRefuseTheirRequest() {
    RouteLookup lookup = begin("a", "/n/1");
    lookups.versionReported(lookup, 2, OLD, 1_000);
    lookups.settleAll(OLD, 1_000 + DOWNLOAD_TIMEOUT_MS - 1);
    assertEquals(takeResults(), List.of());
    lookups.settleAll(OLD, 1_000 + DOWNLOAD_TIMEOUT_MS);
    assertEquals(takeResults(), List.of("a Unavailable"));
  }

  @Test
  public void aCancelledLookupGetsNoResultAndDoesNotHoldUpOthers() {
    RouteLookup first = begin("first", "/n/1");
    RouteLookup second = begin("second", "/n/1");
    assertTrue(lookups.cancel(first, 0));
    assertFalse(lookups.cancel(first, 0));
    lookups.versionReported(first, 1, OLD, 0);
    assertEquals(takeResults(), List.of());
    lookups.versionReported(second, 1, OLD, 0);
    assertEquals(takeResults(), List.of("second NotFound"));
    assertTrue(lookups.isEmpty());
  }

  @Test
  public void aResultMayBeginTheNextLookupOfItsPath() {
    RouteLookup next = RouteLookup.of("h", "/n/1", result -> results.add("next " + result));
    RouteLookup first = RouteLookup.of("h", "/n/1", result -> lookups.begin(next, 0));
    lookups.begin(first, 0);
    lookups.versionReported(first, 1, OLD, 0);
    lookups.versionReported(next, 1, OLD, 0);
    assertEquals(takeResults(), List.of("next NotFound[]"));
    assertTrue(lookups.isEmpty());
  }

  /** Plays lookups, reports, activations and cancellations in random order. */
  @Test
  public void everyLookupGetsOneResultAndPathsKeepTheirOrder() {
    for (long seed = 0; seed < 300; seed++) {
      playRandomly(new Random(seed), seed);
    }
  }

  private static final class Play {
    private final RouteLookups lookups = RouteLookups.create((lookup, result, waitedMs) -> {});
    private final List<RouteLookup> begun = new ArrayList<>();
    private final List<RouteLookup> completed = new ArrayList<>();
    private final List<RouteLookup> cancelled = new ArrayList<>();
    private RouteTable table = OLD;

    private void begin(String path) {
      List<RouteLookup> self = new ArrayList<>();
      RouteLookup lookup = RouteLookup.of("h", path, result -> completed.add(self.getFirst()));
      self.add(lookup);
      begun.add(lookup);
      lookups.begin(lookup, 0);
    }

    private void cancel(RouteLookup lookup) {
      if (lookups.cancel(lookup, 0)) {
        cancelled.add(lookup);
      }
    }

    private List<RouteLookup> pending() {
      List<RouteLookup> pending = new ArrayList<>(begun);
      pending.removeAll(completed);
      pending.removeAll(cancelled);
      return pending;
    }

    /** Returns the lookups of a path among some, in their order. */
    private static List<RouteLookup> ofPath(String path, List<RouteLookup> some) {
      return some.stream().filter(lookup -> lookup.path().equals(path)).toList();
    }
  }

  private static void playRandomly(Random random, long seed) {
    Play play = new Play();
    for (long nowMs = 0; nowMs < 60; nowMs++) {
      List<RouteLookup> pending = play.pending();
      if (pending.isEmpty() || random.nextInt(3) == 0) {
        play.begin((random.nextBoolean() ? "/n/" : "/m/") + random.nextInt(2));
        continue;
      }
      RouteLookup any = pending.get(random.nextInt(pending.size()));
      switch (random.nextInt(4)) {
        case 0 -> play.lookups.versionReported(any, 1 + random.nextInt(2), play.table, nowMs);
        case 1 -> play.lookups.versionMissing(any, play.table, nowMs);
        case 2 -> play.cancel(any);
        default -> {
          play.table = random.nextInt(10) == 0 ? NEW : play.table;
          play.lookups.settleAll(play.table, nowMs);
        }
      }
    }
    play.pending().forEach(lookup -> play.lookups.versionMissing(lookup, play.table, 60));
    assertTrue(play.lookups.isEmpty(), "seed " + seed);
    assertEquals(play.completed.size() + play.cancelled.size(), play.begun.size(), "seed " + seed);
    for (String path : List.of("/n/0", "/n/1", "/m/0", "/m/1")) {
      List<RouteLookup> expected = new ArrayList<>(Play.ofPath(path, play.begun));
      expected.removeAll(play.cancelled);
      assertEquals(Play.ofPath(path, play.completed), expected, "seed " + seed);
    }
  }
}
