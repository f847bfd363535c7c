package org.agatefield.daemon.calls;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.ResolvingObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;

/**
 * Reads and writes claims as objects of the store.
 *
 * <p>A response body of up to half a megabyte is stored in the claim. A larger one is stored in
 * parts, which are written before the claim is marked as answered. Thread-safe.
 */
final class ClaimStore {
  private static final int PART_BYTES = 512 * 1024;

  private final ObjectStore store;
  private final ObjectStore resolvingStore;

  ClaimStore(ObjectStore store) {
    this.store = store;
    this.resolvingStore = new ResolvingObjectStore(store);
  }

  /** Reads a claim with its complete response; empty if the claim does not exist. */
  CompletableFuture<Optional<StoredClaim>> read(String name) {
    return readObject(name).thenCompose(this::readAnswer);
  }

  /** Reads the object of a claim; empty if it does not exist. */
  CompletableFuture<Optional<StoredObject>> readObject(String name) {
    return store
        .get(key(name))
        .thenApply(Optional::of)
        .exceptionallyCompose(
            failure ->
                StoreException.failureOf(failure).equals(Optional.of(StoreFailure.NOT_FOUND))
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : CompletableFuture.failedFuture(failure));
  }

  /** Returns the era that the store named last. */
  long era() {
    return store.era();
  }

  /** Creates a claim. An unknown result is resolved by the protocol, not here. */
  CompletableFuture<StoredClaim> create(String name, Claim<ServiceResponse> claim) {
    return store
        .create(key(name), claim.attemptId(), ClaimCodec.encode(claim))
        .thenApply(object -> new StoredClaim(object, claim));
  }

  /** Writes the outcome into a claim, if it has not changed since it was read. */
  CompletableFuture<StoredObject> record(
      StoredClaim previous, Claim.Outcome<ServiceResponse> outcome, String writeIdentifier) {
    Claim<ServiceResponse> answered = previous.claim().withOutcome(outcome);
    String name = previous.object().key().name();
    return writeParts(name, answered)
        .thenCompose(
            written ->
                resolvingStore.update(
                    previous.object(), writeIdentifier, encodeWithOutcome(answered)))
        .exceptionallyCompose(failure -> writePartsAgain(name, answered, failure));
  }

  /** Creates a claim, with its outcome if it has one, that the store has forgotten. */
  CompletableFuture<StoredObject> createAgain(
      String name, Claim<ServiceResponse> claim, String writeIdentifier) {
    return writeParts(name, claim)
        .thenCompose(
            written -> resolvingStore.create(key(name), writeIdentifier, encodeWithOutcome(claim)));
  }

  private static ObjectNode encodeWithOutcome(Claim<ServiceResponse> claim) {
    if (claim.outcome().isEmpty()) {
      return ClaimCodec.encode(claim);
    }
    return answerOf(claim)
        .map(answer -> ClaimCodec.encodeAnswered(claim, answer, partCount(answer.body())))
        .orElseGet(() -> ClaimCodec.encodeLost(claim));
  }

  private static Optional<ServiceResponse> answerOf(Claim<ServiceResponse> claim) {
    return claim.outcome().flatMap(Claim.Outcome::answer);
  }

  /**
   * Writes the parts again if the claim may name them in a store that has forgotten them; fails
   * with the failure in any case.
   */
  private CompletableFuture<StoredObject> writePartsAgain(
      String name, Claim<ServiceResponse> claim, Throwable failure) {
    boolean lost = StoreException.failureOf(failure).equals(Optional.of(StoreFailure.HISTORY_LOST));
    return lost
        ? writeParts(name, claim).thenCompose(done -> CompletableFuture.failedFuture(failure))
        : CompletableFuture.failedFuture(failure);
  }

  /** Deletes a claim, if it has not changed since it was read. */
  CompletableFuture<Void> delete(StoredObject object) {
    return resolvingStore.delete(object);
  }

  private CompletableFuture<Optional<StoredClaim>> readAnswer(Optional<StoredObject> found) {
    if (found.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    StoredObject object = found.get();
    int parts = ClaimCodec.partsOf(object.content());
    if (parts == 0) {
      return CompletableFuture.completedFuture(Optional.of(stored(object, Optional.empty())));
    }
    String attempt = ClaimCodec.attemptOf(object.content());
    return readParts(object.key().name(), attempt, 0, parts, Buffer.buffer())
        .thenApply(body -> Optional.of(stored(object, Optional.of(body))));
  }

  private CompletableFuture<Buffer> readParts(
      String name, String attempt, int part, int parts, Buffer body) {
    if (part == parts) {
      return CompletableFuture.completedFuture(body);
    }
    return store
        .get(partKey(name, attempt, part))
        .thenCompose(
            object -> {
              body.appendBuffer(ClaimCodec.bodyOf(object.content()));
              return readParts(name, attempt, part + 1, parts, body);
            });
  }

  private CompletableFuture<Void> writeParts(String name, Claim<ServiceResponse> claim) {
    return answerOf(claim)
        .map(answer -> writeParts(name, claim, answer.body(), 0, partCount(answer.body())))
        .orElseGet(() -> CompletableFuture.completedFuture(null));
  }

  private CompletableFuture<Void> writeParts(
      String name, Claim<ServiceResponse> claim, Buffer body, int part, int parts) {
    if (part == parts) {
      return CompletableFuture.completedFuture(null);
    }
    int end = Math.min(body.length(), (part + 1) * PART_BYTES);
    Buffer bytes = body.getBuffer(part * PART_BYTES, end);
    String attempt = claim.attemptId();
    ObjectKey key = partKey(name, attempt, part);
    return resolvingStore
        .create(key, attempt, ClaimCodec.encodePart(claim, bytes))
        .handle((created, failure) -> failure)
        .thenCompose(failure -> acceptExistingPart(failure))
        .thenCompose(written -> writeParts(name, claim, body, part + 1, parts));
  }

  /**
   * Accepts an existing part: its name contains the attempt, so an earlier try wrote the same
   * content.
   */
  private static CompletableFuture<Void> acceptExistingPart(Throwable failure) {
    boolean exists =
        StoreException.failureOf(failure).equals(Optional.of(StoreFailure.ALREADY_EXISTS));
    return failure == null || exists
        ? CompletableFuture.completedFuture(null)
        : CompletableFuture.failedFuture(failure);
  }

  private static StoredClaim stored(StoredObject object, Optional<Buffer> parts) {
    return new StoredClaim(object, ClaimCodec.decode(object.content(), parts));
  }

  /** Returns the number of parts that hold a body; 0 if the claim holds it. */
  private static int partCount(Buffer body) {
    return body.length() <= PART_BYTES ? 0 : (body.length() + PART_BYTES - 1) / PART_BYTES;
  }

  private static ObjectKey key(String name) {
    return new ObjectKey(ObjectKind.CLAIM, name);
  }

  private static ObjectKey partKey(String name, String attempt, int part) {
    return new ObjectKey(ObjectKind.CLAIM, name + "." + attempt + ".part-" + part);
  }
}
