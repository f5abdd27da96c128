package io.hingehoist.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.message.RoutesPart;
import io.hingehoist.message.RoutesRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** An operator adds thousands of routes at once, while replicas come and go. */
public final class RouteDownloadTest {
  private static final int MANY = 2_000;

  private RouteDownload download;
  private final Map<String, RouteTableHistory> replicas = new HashMap<>();
  private final List<RouteDownload.Effect.TableActivated> inForce = new ArrayList<>();
  private final List<RouteDownload.Effect.DownloadFailed> givenUp = new ArrayList<>();
  private int asked;
  private int largestPart;

  @BeforeMethod
  public void open() {
    download = RouteDownload.create();
    replicas.clear();
    inForce.clear();
    givenUp.clear();
    asked = 0;
    largestPart = 0;
  }

  private static Route route(int number, int priority) {
    return new Route("r" + number, "h" + number % 3, "/p" + number + "/", "s", priority, 2, 60, 1);
  }

  private static RouteTable table(long version, int routes) {
    List<Route> list = new ArrayList<>();
    for (int i = 0; i < routes; i++) {
      list.add(route(i, 0));
    }
    return RouteTable.of(version, list);
  }

  private RouteTableHistory replica(String name) {
    return replicas.computeIfAbsent(name, n -> RouteTableHistory.create());
  }

  /** Brings requests to replicas and answers back, as long as there are any. */
  private void settle(long nowMs) {
    settle(nowMs, Integer.MAX_VALUE);
  }

  private void settle(long nowMs, int mostAnswers) {
    int answers = 0;
    for (List<RouteDownload.Effect> effects = download.drainEffects();
        !effects.isEmpty();
        effects = download.drainEffects()) {
      for (RouteDownload.Effect effect : effects) {
        switch (effect) {
          case RouteDownload.Effect.RequestPart ask -> {
            asked++;
            Optional<RoutesPart> part = replica(ask.source()).answer(ask.request());
            if (part.isPresent() && answers++ < mostAnswers) {
              int routes = part.get().put().size() + part.get().removed().size();
              largestPart = Math.max(largestPart, routes);
              download.onPart(ask.source(), part.get(), nowMs);
            }
          }
          case RouteDownload.Effect.TableActivated news -> inForce.add(news);
          case RouteDownload.Effect.DownloadFailed news -> givenUp.add(news);
        }
      }
    }
  }

  private void hold(RouteTable table) {
    replica("a").add(table);
    replica("b").add(table);
    download.onVersionAnnounced("a", table.version(), 0);
    download.onVersionAnnounced("b", table.version(), 0);
    settle(0);
    assertEquals(download.table().version(), table.version());
    asked = 0;
    inForce.clear();
  }

  @Test
  public void thousandsOfRoutesComeInSmallPartsToWhoeverServesCallers() {
    hold(table(7, 10));
    largestPart = 0;
    replica("a").add(table(8, MANY));
    download.onVersionAnnounced("a", 8, 0);
    settle(10);
    assertEquals(download.table().routes().size(), MANY);
    assertTrue(largestPart <= RouteParts.USUAL_ROUTES, "a part of " + largestPart);
    assertEquals(inForce.getFirst().durationMs(), 10);
  }

  /** All owners of a fleet start together after a loss of power, and refuse callers until then. */
  @Test
  public void whoeverHoldsNothingHasThousandsOfRoutesAfterSomeRoundTrips() {
    replica("a").add(table(7, MANY));
    download.onVersionAnnounced("a", 7, 0);
    settle(0);
    assertEquals(download.table().routes().size(), MANY);
    assertTrue(asked <= 4, "asked " + asked + " times");
  }

  @Test
  public void partsAreNeverLargerThanAReplicaAllows() {
    replica("a").add(table(7, MANY));
    RoutesPart part =
        replica("a").answer(new RoutesRequest(0, 0, 7, 0, Integer.MAX_VALUE)).orElseThrow();
    assertTrue(part.put().size() <= RouteParts.FIRST_ROUTES);
    part = replica("a").answer(new RoutesRequest(0, 0, 7, 0, -1)).orElseThrow();
    assertTrue(part.put().size() >= 1);
  }

  @Test
  public void aChangeOfOneRouteAmongThousandsIsOnePart() {
    hold(table(7, MANY));
    RouteTable.Builder changed = table(7, MANY).toBuilder();
    changed.put(route(500, 3));
    changed.remove(route(7, 0).place());
    replica("a").add(changed.build(9));
    download.onVersionAnnounced("a", 9, 0);
    settle(0);
    assertEquals(asked, 1);
    assertEquals(download.table().routes().size(), MANY - 1);
    assertTrue(download.table().find("h1", "/p7/x").isEmpty());
    assertEquals(download.table().find("h2", "/p500/x").orElseThrow().priority(), 3);
    assertEquals(download.table().version(), 9);
  }

  @Test
  public void aVersionThatChangesNoRouteIsInForceAsWell() {
    hold(table(7, 5));
    replica("a").add(table(8, 5));
    download.onVersionAnnounced("a", 8, 0);
    settle(0);
    assertEquals(download.table().version(), 8);
    assertEquals(asked, 1);
  }

  @Test
  public void theOldTableServesUntilTheNewOneIsWhole() {
    hold(table(7, 10));
    replica("a").add(table(8, MANY));
    download.onVersionAnnounced("a", 8, 0);
    settle(0, 3);
    assertEquals(download.table().version(), 7);
    assertTrue(download.table().find("h0", "/p999/x").isEmpty());
    assertTrue(download.table().find("h0", "/p9/x").isPresent());
  }

  @Test
  public void anotherReplicaIsAskedWhenOneFallsSilentHalfway() {
    replica("a").add(table(7, MANY));
    replica("b").add(table(7, MANY));
    download.onVersionAnnounced("a", 7, 0);
    download.onVersionAnnounced("b", 7, 0);
    settle(0, 3);
    download.onTick(299);
    settle(299);
    assertEquals(download.table().version(), 0);
    download.onTick(300);
    settle(300);
    assertEquals(download.table().version(), 7);
    assertEquals(inForce.getFirst().source(), "b");
    assertEquals(givenUp.getFirst().reason(), "no answer");
  }

  @Test
  public void anotherReplicaIsAskedAtOnceWhenTheConnectionIsLost() {
    replica("a").add(table(7, MANY));
    replica("b").add(table(7, MANY));
    download.onVersionAnnounced("a", 7, 0);
    download.onVersionAnnounced("b", 7, 0);
    settle(0, 3);
    download.onSourceLost("a", 5);
    settle(5);
    assertEquals(download.table().version(), 7);
  }

  @Test
  public void aNewerVersionHalfwayTakesTheOldOnesPlace() {
    hold(table(7, 10));
    replica("a").add(table(8, MANY));
    download.onVersionAnnounced("a", 8, 0);
    settle(0, 3);
    replica("a").add(table(9, MANY + 100));
    download.onVersionAnnounced("a", 9, 0);
    // The part that was on its way got lost with its connection.
    download.onSourceLost("a", 0);
    download.onVersionAnnounced("a", 9, 0);
    settle(0);
    assertEquals(download.table().version(), 9);
    assertEquals(download.table().routes().size(), MANY + 100);
  }

  @Test
  public void anArchiveThatMovedOnAnswersWithTheFirstPartOfTheNewest() {
    hold(table(7, 10));
    replica("a").add(table(8, MANY));
    download.onVersionAnnounced("a", 8, 0);
    List<RouteDownload.Effect> effects = download.drainEffects();
    replica("a").add(table(9, 11));
    RouteDownload.Effect.RequestPart ask = (RouteDownload.Effect.RequestPart) effects.getFirst();
    download.onPart("a", replica("a").answer(ask.request()).orElseThrow(), 0);
    settle(0);
    assertEquals(download.table().version(), 9);
    assertEquals(download.table().routes().size(), 11);
  }

  @Test
  public void whoeverHoldsSomethingElseGetsTheWhole() {
    download.onVersionAnnounced("other", 7, 0);
    replica("other").add(table(7, 3));
    settle(0);
    replica("a").add(table(7, 4));
    replica("a").add(table(8, 4));
    download.onVersionAnnounced("a", 8, 0);
    settle(0);
    assertEquals(download.table().version(), 8);
    assertEquals(download.table().routes().size(), 4);
  }

  @Test
  public void aBaseThatOnlySeemsTheSameIsFoundOutAtTheEnd() {
    hold(table(7, 3));
    RoutesPart honest = RouteParts.of(table(7, 4), table(8, 5), 64).getFirst();
    download.onVersionAnnounced("liar", 8, 0);
    download.drainEffects();
    download.onPart("liar", honest, 0);
    replica("liar").add(table(8, 5));
    settle(0);
    assertEquals(givenUp.getFirst().reason(), "the digest differs");
    assertEquals(download.table().version(), 8);
    assertEquals(download.table().routes().size(), 5);
  }

  @Test
  public void partsThatNobodyAskedForChangeNothing() {
    hold(table(7, 3));
    download.onPart("a", RouteParts.of(table(7, 3), table(8, 9), 64).getFirst(), 0);
    assertEquals(download.table().version(), 7);
    download.onVersionAnnounced("a", 6, 0);
    assertTrue(download.drainEffects().isEmpty());
  }
}
