/**
 * The stand-in of the platform's list of VMs.
 */
package io.lentilslip.standin.vmlist;
