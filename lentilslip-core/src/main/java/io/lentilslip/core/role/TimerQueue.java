package io.lentilslip.core.role;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import io.vavr.collection.LinkedHashSet;
import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Things to do at a time. An item that no longer matters may be taken out, which keeps
 * the agenda small where items are due late; otherwise whoever gets it looks whether it
 * still does. The same item at the same time stands once. Adding and taking cost a
 * logarithm of the number of times. Immutable and safe for use by several threads if the
 * items are.
 *
 * @param <T> the type of the items, which are equal by their values
 */
public final class TimerQueue<T> {

	private final SortedMap<Instant, Set<T>> items;

	private final int size;

	private TimerQueue(SortedMap<Instant, Set<T>> items, int size) {
		this.items = items;
		this.size = size;
	}

	/**
	 * Returns an agenda without items.
	 * @param <T> the type of the items
	 * @return an empty agenda
	 */
	public static <T> TimerQueue<T> empty() {
		return new TimerQueue<>(TreeMap.empty(), 0);
	}

	/**
	 * Returns an agenda with one more item.
	 * @param time when the item is due
	 * @param item the item
	 * @return the longer agenda
	 */
	public TimerQueue<T> with(Instant time, T item) {
		Set<T> others = this.items.getOrElse(time, LinkedHashSet.empty());
		if (others.contains(item)) {
			return this;
		}
		return new TimerQueue<>(this.items.put(time, others.add(item)), this.size + 1);
	}

	/**
	 * Returns an agenda without an item.
	 * @param time when the item was due
	 * @param item the item
	 * @return the shorter agenda, or this one if the item does not stand at that time
	 */
	public TimerQueue<T> without(Instant time, T item) {
		Set<T> there = this.items.getOrElse(time, LinkedHashSet.empty());
		if (!there.contains(item)) {
			return this;
		}
		Set<T> others = there.remove(item);
		SortedMap<Instant, Set<T>> left = (others.isEmpty()) ? this.items.remove(time) : this.items.put(time, others);
		return new TimerQueue<>(left, this.size - 1);
	}

	/**
	 * Returns the items that are due, in the order of their times, and the agenda without
	 * them.
	 * @param now the time up to which items are due
	 * @return the items due
	 */
	public DueItems<T> pollDue(Instant now) {
		SortedMap<Instant, Set<T>> left = this.items;
		List<T> due = new ArrayList<>();
		while (!left.isEmpty() && !left.head()._1().isAfter(now)) {
			left.head()._2().forEach(due::add);
			left = left.tail();
		}
		return new DueItems<>(new TimerQueue<>(left, this.size - due.size()), due);
	}

	/**
	 * Returns the number of items.
	 * @return the number of items
	 */
	public int size() {
		return this.size;
	}

	/**
	 * The items that are due and the agenda that is left.
	 *
	 * @param <T> the type of the items
	 * @param agenda the agenda that is left
	 * @param items the items due, in the order of their times
	 */
	public record DueItems<T>(TimerQueue<T> remaining, List<T> items) {

		/**
		 * Creates a value.
		 * @param agenda the agenda that is left
		 * @param items the items due, in the order of their times
		 */
		public DueItems {
			items = List.copyOf(items);
		}

	}

}
