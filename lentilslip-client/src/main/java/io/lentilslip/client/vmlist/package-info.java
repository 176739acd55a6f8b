/**
 * The client of the platform's list of live and leaving VMs.
 */
package io.lentilslip.client.vmlist;
