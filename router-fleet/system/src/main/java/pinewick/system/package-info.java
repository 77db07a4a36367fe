/**
 * The two programs, {@code router} and {@code controller}: {@link pinewick.system.Main} runs the command, {@link
 * pinewick.system.SettingsReader} reads the settings file, {@link pinewick.system.ProgramRunner} runs a program until
 * SIGTERM, {@link pinewick.system.LoggingSetup} configures logging. {@link pinewick.system.TrainingRun} is used by the
 * build only.
 */
package pinewick.system;
