/**
 * What a process learns of the VMs around it.
 */
package io.lentilslip.runtime.membership;
