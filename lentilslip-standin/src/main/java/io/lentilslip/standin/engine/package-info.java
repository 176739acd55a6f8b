/**
 * A model engine for tests and the demonstration. A pure batching model
 * ({@link io.lentilslip.standin.engine.BatchingModel}) decides what an engine would do; a
 * loop gives it time, and an HTTP server puts it on the network.
 */
package io.lentilslip.standin.engine;
