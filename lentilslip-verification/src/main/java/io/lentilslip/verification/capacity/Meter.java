package io.lentilslip.verification.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import java.util.function.IntToDoubleFunction;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import io.vavr.control.Try;

/**
 * Takes samples: processor time and allocation of the calling thread, the heap that a
 * value holds, or any number. All work runs on the calling thread, and what other threads
 * of the machine do shows only as slower caches and clocks. Not safe for use by several
 * threads.
 */
final class Meter {

	private static final int REPETITIONS = 5;

	private static final int WARM_UP_ROUNDS = 4;

	private static final int COLLECTIONS = 2;

	private static final int PROCESS_REPETITIONS = 3;

	private static final Duration PAUSE = Duration.ofSeconds(2);

	private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	private final OperatingSystemMXBean process = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

	private final List<Sample> samples = new ArrayList<>();

	/**
	 * Returns all samples so far.
	 * @return the samples, in the order in which they were taken
	 */
	List<Sample> samples() {
		return List.copyOf(this.samples);
	}

	/**
	 * Samples the processor time and the allocation of some work.
	 * @param quantity the name, to which {@code -cpu} and {@code -allocation} are added
	 * before its {@code -by-}
	 * @param work gives the work for a size; only running it is measured
	 * @param sizes the sizes
	 */
	void time(String quantity, IntFunction<Runnable> work, int... sizes) {
		for (int round = 0; round < WARM_UP_ROUNDS; round++) {
			for (int size : sizes) {
				work.apply(size).run();
			}
		}
		for (int repetition = 1; repetition <= REPETITIONS; repetition++) {
			for (int size : sizes) {
				time(quantity, size, work.apply(size), repetition);
			}
		}
	}

	private void time(String quantity, int size, Runnable work, int repetition) {
		long allocatedBefore = this.threads.getCurrentThreadAllocatedBytes();
		long timeBefore = this.threads.getCurrentThreadCpuTime();
		work.run();
		long time = this.threads.getCurrentThreadCpuTime() - timeBefore;
		long allocated = this.threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
		add(quantity.replace("-by-", "-cpu-by-"), size, time, Sample.Unit.NANOSECONDS, repetition);
		add(quantity.replace("-by-", "-allocation-by-"), size, allocated, Sample.Unit.BYTES, repetition);
	}

	/**
	 * Samples the heap that a value holds, by the difference of the used heap after
	 * garbage collections with it and without it.
	 * @param quantity the name
	 * @param value gives the value for a size
	 * @param sizes the sizes
	 */
	void heap(String quantity, IntFunction<Object> value, int... sizes) {
		for (int repetition = 1; repetition <= REPETITIONS; repetition++) {
			for (int size : sizes) {
				// The same value once before loads classes and fills caches, which else
				// would count as held by the first value.
				if (repetition == 1) {
					close(value.apply(size));
				}
				add(quantity, size, heldBy(value, size), Sample.Unit.BYTES, repetition);
			}
		}
	}

	// The process must run with -XX:MarkSweepAlwaysCompactCount=1: else three of four
	// collections leave dead objects where they lie, which count as used, and a small
	// value measured after a large one seems to hold less than nothing.
	private static long heldBy(IntFunction<Object> value, int size) {
		long before = usedHeap();
		Object held = value.apply(size);
		long after = usedHeap();
		Reference.reachabilityFence(held);
		close(held);
		return after - before;
	}

	private static void close(Object held) {
		if (held instanceof AutoCloseable closeable) {
			Try.run(closeable::close).get();
		}
	}

	/**
	 * Samples the processor time that all threads of this process take in a second while
	 * a value is held.
	 * @param quantity the name
	 * @param value gives the value for a size
	 * @param sizes the sizes
	 */
	void processTimeOfASecond(String quantity, IntFunction<? extends AutoCloseable> value, int... sizes) {
		for (int repetition = 1; repetition <= PROCESS_REPETITIONS; repetition++) {
			for (int size : sizes) {
				AutoCloseable held = value.apply(size);
				pause();
				long before = this.process.getProcessCpuTime();
				pause();
				long time = this.process.getProcessCpuTime() - before;
				add(quantity, size, (double) time / PAUSE.toSeconds(), Sample.Unit.NANOSECONDS, repetition);
				close(held);
			}
		}
	}

	private static void pause() {
		LockSupport.parkNanos(PAUSE.toNanos());
	}

	private static long usedHeap() {
		for (int collection = 0; collection < COLLECTIONS; collection++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	/**
	 * Samples a number of bytes that is the same each time.
	 * @param quantity the name
	 * @param bytes gives the number for a size
	 * @param sizes the sizes
	 */
	void count(String quantity, IntToDoubleFunction bytes, int... sizes) {
		for (int size : sizes) {
			add(quantity, size, bytes.applyAsDouble(size), Sample.Unit.BYTES, 1);
		}
	}

	private void add(String quantity, int size, double value, Sample.Unit unit, int repetition) {
		this.samples.add(new Sample(quantity, size, value, unit, repetition));
	}

}
