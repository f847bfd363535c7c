/**
 * The instance-to-instance protocol: one multiplexed connection for each pair of instances, with
 * length-prefixed protobuf frames over TCP.
 *
 * <p>The schema is {@code src/main/proto/peer.proto}; the package {@code generated} is generated
 * from it by {@code protoc --java_out} and committed.
 */
package org.agatefield.peer;
