/**
 * The settings tree that operators change, and the validation of every setting.
 *
 * <p>Start with {@link io.hingehoist.settings.SettingsTree}. The values themselves are generated
 * from the schema, see {@link io.hingehoist.settings.ServicePolicy}.
 */
package io.hingehoist.settings;
