package io.hingehoist.daemon;

/** The exit codes of {@code hingehoistd}, based on {@code sysexits.h}. */
enum ExitCode {
  OK(0),
  /** The command line is invalid. */
  USAGE(64),
  /** The data folder is damaged. */
  DAMAGED_DATA(65),
  /** The process stopped because an invariant was violated. */
  BROKEN_INVARIANT(70),
  /** An address or the data folder cannot be opened. */
  CANNOT_OPEN(73),
  /** Writing or syncing the journal failed. */
  DISK_FAILED(74),
  /** A planned stop timed out before all work was settled. */
  UNSETTLED_STOP(75),
  /** The settings file is invalid. */
  BAD_SETTINGS(78);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
