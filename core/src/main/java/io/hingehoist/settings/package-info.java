/**
 * The settings tree that operators change, and the checks of every setting.
 *
 * <p>Begin with {@link io.hingehoist.settings.SettingsTree}. The values themselves are generated
 * from the schema, see {@link io.hingehoist.settings.ServicePolicy}.
 */
package io.hingehoist.settings;
