package io.hingehoist.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public final class RouteTableTest {
  private static Route route(String name, String host, String prefix) {
    return new Route(name, host, prefix, "s", 0, 1, 60, 1.6);
  }

  @Test
  public void theLongestPrefixOfTheHostIsFound() {
    RouteTable table =
        RouteTable.of(
            3, List.of(route("a", "h", "/x/"), route("b", "h", "/x/y/"), route("c", "g", "/")));
    assertEquals(table.find("h", "/x/y/1").orElseThrow().name(), "b");
    assertEquals(table.find("h", "/x/z").orElseThrow().name(), "a");
    assertTrue(table.find("h", "/other").isEmpty());
    assertTrue(table.find("nobody", "/x/").isEmpty());
  }

  @Test
  public void anAdjacentPrefixInSortOrderDoesNotHideAShorterOne() {
    RouteTable table =
        RouteTable.of(
            3, List.of(route("a", "h", "/x"), route("b", "h", "/x/a/"), route("c", "h", "/x/b/c")));
    assertEquals(table.find("h", "/x/b/1").orElseThrow().name(), "a");
    assertEquals(table.find("h", "/x/b/c").orElseThrow().name(), "c");
    assertEquals(table.find("h", "/x/a/").orElseThrow().name(), "b");
    assertEquals(table.find("h", "/x").orElseThrow().name(), "a");
    assertTrue(table.find("h", "/w").isEmpty());
    assertTrue(table.find("h", "").isEmpty());
  }
}
