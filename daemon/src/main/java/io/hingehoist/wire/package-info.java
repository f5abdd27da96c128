/**
 * Frames of MessagePack on TCP connections between hingehoist processes.
 *
 * <p>A frame is a length of four bytes and a message. Begin with {@link
 * io.hingehoist.wire.FrameConnection}; {@link io.hingehoist.wire.FrameServer} takes connections and
 * {@link io.hingehoist.wire.FrameLink} keeps one open.
 */
package io.hingehoist.wire;
