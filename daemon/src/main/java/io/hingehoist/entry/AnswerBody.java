package io.hingehoist.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/** The JSON body of an answer. Fields that do not apply to the outcome are omitted. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record AnswerBody(
    String outcome,
    List<String> results,
    String cause,
    String reason,
    Long retryAfterMs,
    Integer finishedTasks,
    Integer taskCount) {

  static AnswerBody complete(List<String> results) {
    return new AnswerBody("complete", results, null, null, null, null, null);
  }

  static AnswerBody failed(String reason) {
    return new AnswerBody("failed", null, null, reason, null, null, null);
  }

  static AnswerBody refused(String cause, String reason, Long retryAfterMs) {
    return new AnswerBody("refused", null, cause, reason, retryAfterMs, null, null);
  }

  static AnswerBody unknown(String reason, long retryAfterMs) {
    return new AnswerBody("unknown", null, null, reason, retryAfterMs, null, null);
  }

  static AnswerBody running(Integer finishedTasks, int taskCount) {
    return new AnswerBody("running", null, null, null, null, finishedTasks, taskCount);
  }

  static AnswerBody notFound() {
    return new AnswerBody("notFound", null, null, null, null, null, null);
  }
}
