/**
 * Decisions of an entry: authentication and validation of requests, routing of calls to
 * sidecars, and completion.
 */
package io.lentilslip.core.entry;
