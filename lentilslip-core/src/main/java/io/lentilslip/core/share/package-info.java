/**
 * The order in which waiting calls get an upstream: shares of groups, classes within a
 * group, programs within a class.
 */
package io.lentilslip.core.share;
