/**
 * The place of an adapter to a platform: what callers, operators and workers speak there is
 * translated by it, and nothing else knows of it. Begin with {@link io.hingehoist.adapter.Adapter}.
 */
package io.hingehoist.adapter;
