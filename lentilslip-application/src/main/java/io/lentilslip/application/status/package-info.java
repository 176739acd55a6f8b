/**
 * What operators are shown of running processes, and the tables it is shown in.
 */
package io.lentilslip.application.status;
