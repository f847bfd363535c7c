/**
 * The protocol between instances: one multiplexed connection per pair of instances, with
 * length-prefixed protobuf frames over TCP.
 *
 * <p>The schema is {@code src/main/proto/peer.proto}; the package {@code generated} is generated
 * from it by {@code protoc --java_out} and committed.
 */
package org.agatefield.peer;
