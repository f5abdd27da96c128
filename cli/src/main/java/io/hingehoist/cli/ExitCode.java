package io.hingehoist.cli;

/** The exit codes of {@code hingehoist}. */
enum ExitCode {
  OK(0),
  /** The answer is "refused" or "failed". */
  REFUSED(1),
  /** The command line is invalid. */
  USAGE(64),
  /**
   * No entry answered, or the outcome is unknown; the command can be repeated under the same id.
   */
  UNAVAILABLE(69);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
