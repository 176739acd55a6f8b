/**
 * The callers' interface: HTTP requests become events of the entry, its effects become
 * answers.
 */
package io.lentilslip.entry.http;
