/**
 * What processes of both roles are assembled from, and how they are asked to stop.
 */
package io.lentilslip.runtime.node;
