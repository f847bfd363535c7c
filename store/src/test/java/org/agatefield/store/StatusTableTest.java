package org.agatefield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StatusTableTest {
  @Test
  void refusalOfApiItselfProvesThatWriteHadNoEffect() {
    assertEquals(StoreFailure.UNAVAILABLE, StatusTable.failureOf(true, 503, "ServiceUnavailable"));
    assertEquals(StoreFailure.UNAVAILABLE, StatusTable.failureOf(true, 429, ""));
  }

  @Test
  void errorOfIntermediaryLeavesWriteResultUnknown() {
    assertEquals(StoreFailure.UNKNOWN_RESULT, StatusTable.failureOf(true, 503, ""));
    assertEquals(StoreFailure.UNKNOWN_RESULT, StatusTable.failureOf(true, 502, ""));
    assertEquals(StoreFailure.UNKNOWN_RESULT, StatusTable.failureOf(true, 504, "Timeout"));
    assertEquals(StoreFailure.UNKNOWN_RESULT, StatusTable.failureOf(true, 500, ""));
  }

  @Test
  void failedReadIsNeverUnknown() {
    assertEquals(StoreFailure.UNAVAILABLE, StatusTable.failureOf(false, 503, ""));
    assertEquals(StoreFailure.UNAVAILABLE, StatusTable.failureOf(false, 500, ""));
  }

  @Test
  void clientErrorsMapToDistinctFailures() {
    assertEquals(StoreFailure.ALREADY_EXISTS, StatusTable.failureOf(true, 409, "AlreadyExists"));
    assertEquals(StoreFailure.CONFLICT, StatusTable.failureOf(true, 409, "Conflict"));
    assertEquals(StoreFailure.VERSION_GONE, StatusTable.failureOf(false, 410, "Expired"));
    assertEquals(StoreFailure.TOO_LARGE, StatusTable.failureOf(true, 413, ""));
    assertEquals(StoreFailure.NOT_FOUND, StatusTable.failureOf(false, 404, "NotFound"));
  }
}
