/**
 * The client of plain services, whose calls may not be repeatable.
 */
package io.lentilslip.client.service;
