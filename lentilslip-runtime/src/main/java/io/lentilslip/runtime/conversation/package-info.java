/**
 * The form in which conversations are kept and compared.
 */
package io.lentilslip.runtime.conversation;
