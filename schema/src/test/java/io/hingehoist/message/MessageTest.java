package io.hingehoist.message;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class MessageTest {
  private static StartRuns startRuns(String spec, int runCount) {
    List<RunRef> runs =
        IntStream.range(0, runCount).mapToObj(i -> new RunRef("job.0." + i, i)).toList();
    return new StartRuns(7, "worker", "job", spec, 40, new Room(1_600, 64, 0), runs);
  }

  /**
   * Returns strings that are shorter and longer than any buffer of the codec, of one to four bytes
   * per character.
   */
  @DataProvider
  public Object[][] texts() {
    return new Object[][] {
      {""}, {"x".repeat(63)}, {"x".repeat(256)}, {"é".repeat(300)}, {"😀€".repeat(5_000)}
    };
  }

  @Test(dataProvider = "texts")
  public void aDecodedMessageEqualsTheEncodedOne(String text) throws IOException {
    StartRuns startRuns = startRuns(text, 3);
    assertEquals(Message.fromBytes(startRuns.toBytes()), startRuns);
  }

  @Test
  public void aDecodedMessageOfManyBuffersEqualsTheEncodedOne() throws IOException {
    StartRuns startRuns = startRuns("spec", 1_900);
    assertEquals(Message.fromBytes(startRuns.toBytes()), startRuns);
  }

  @Test
  public void aTruncatedMessageIsRejected() {
    byte[] whole = startRuns("€".repeat(400), 2).toBytes().toArray();
    for (int size = 0; size < whole.length; size++) {
      Bytes truncated = Bytes.copyOf(Arrays.copyOf(whole, size));
      assertThrows(IOException.class, () -> Message.fromBytes(truncated));
    }
  }
}
