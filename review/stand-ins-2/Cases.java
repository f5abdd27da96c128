import java.nio.file.Path;

/** Runs one case; exits with 10 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Cases {
  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path recordFile = Path.of(arguments[1]);
    String part = System.getenv().getOrDefault("PART", "");
    int code = 2;
    try {
      code =
          switch (arguments[0]) {
            case "stopped-edge" -> StoppedEdge.run(trouble, recordFile);
            case "cancel-retried" -> Cancels.retried(trouble, recordFile);
            case "cancel-copied" -> Cancels.copied(trouble, recordFile);
            case "lost-accelerators" -> LostAccelerators.run(trouble, recordFile);
            case "killed-first-start" ->
                KilledFirstStart.run(
                    trouble && !"loss".equals(part), trouble && !"kill".equals(part), recordFile);
            default -> throw new IllegalArgumentException(arguments[0]);
          };
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code == 1 ? 10 : code);
  }
}
