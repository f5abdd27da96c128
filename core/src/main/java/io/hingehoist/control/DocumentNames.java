package io.hingehoist.control;

/** Static helpers for the names of documents in the log. */
public final class DocumentNames {
  /** The routes, as an adapter's operators publish them; brought to every owner. */
  public static final String CONFIGURATION = "configuration";

  private static final String HOST = "host/";

  private DocumentNames() {}

  /** Returns the document that holds the workers that a host knew. */
  public static String ofHost(String hostId) {
    return HOST + hostId;
  }

  /** Returns whether a document is brought to owners without their asking. */
  public static boolean isFollowed(String name) {
    return !name.startsWith(HOST);
  }
}
