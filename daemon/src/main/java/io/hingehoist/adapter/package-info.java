/**
 * The interfaces of a platform adapter. The adapter translates the protocols that the platform's
 * callers, operators and workers use, and no other code depends on them. Start with {@link
 * io.hingehoist.adapter.Adapter}.
 */
package io.hingehoist.adapter;
