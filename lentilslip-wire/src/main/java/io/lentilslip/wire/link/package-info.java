/**
 * Links between processes: framed messages over TCP, opened by a handshake that proves a
 * shared secret and kept under watch by heartbeats.
 */
package io.lentilslip.wire.link;
