/**
 * MessagePack frames on TCP connections between hingehoist processes.
 *
 * <p>A frame consists of a length of four bytes and a message. Start with {@link
 * io.hingehoist.wire.FrameConnection}; {@link io.hingehoist.wire.FrameServer} accepts connections
 * and {@link io.hingehoist.wire.FrameLink} keeps one open.
 */
package io.hingehoist.wire;
