package org.agatefield.daemon.calls;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClaimCodecTest {
  /** Guards against answers of faulty runners that an earlier release has recorded. */
  @ParameterizedTest
  @CsvSource({"200,true", "404,true", "599,true", "0,false", "99,false", "199,false", "600,false"})
  void recordedStatusThatIsNoneOfHttpIsLostOutcome(int status, boolean answer) {
    Claim<ServiceResponse> claim =
        new Claim<>("attempt", "holder", "hash", 1, 1_000, 2_000, Optional.empty());
    ServiceResponse response = new ServiceResponse(status, List.of(), Buffer.buffer("body"));
    ObjectNode recorded = ClaimCodec.encodeAnswered(claim, response, 0);
    Claim<ServiceResponse> read = ClaimCodec.decode(recorded, Optional.empty());
    assertEquals(answer, read.outcome().orElseThrow().answer().isPresent());
  }
}
