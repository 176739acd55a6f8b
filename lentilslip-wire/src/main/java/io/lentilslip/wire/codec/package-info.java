/**
 * Codecs between values and bytes, whose problems are values too.
 */
package io.lentilslip.wire.codec;
