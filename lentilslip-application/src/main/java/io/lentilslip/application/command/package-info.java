/**
 * The commands of the one binary. Each command is a class; {@link CommandLineTool} finds
 * the one that is asked for and turns its end into an exit code.
 */
package io.lentilslip.application.command;
