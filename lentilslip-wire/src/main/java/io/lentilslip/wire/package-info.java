/**
 * Protocol between the processes of the system: protobuf messages over Netty.
 */
package io.lentilslip.wire;
