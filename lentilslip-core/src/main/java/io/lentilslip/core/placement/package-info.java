/**
 * Which upstream a new program or a single call goes to.
 */
package io.lentilslip.core.placement;
