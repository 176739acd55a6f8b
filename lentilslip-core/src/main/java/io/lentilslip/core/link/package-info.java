/**
 * Messages between entries and sidecars.
 */
package io.lentilslip.core.link;
