package io.lentilslip.core.role;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import io.vavr.collection.LinkedHashSet;
import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Immutable queue of items ordered by due time. An obsolete item may be removed early,
 * which keeps the queue small if due times are far in the future; otherwise its consumer
 * must check whether it still applies. An item is held at most once per due time. Adding
 * and removing an item takes time logarithmic in the number of due times. Thread-safe if
 * the items are.
 *
 * @param <T> the type of the items, which must define equality by value
 */
public final class TimerQueue<T> {

	private final SortedMap<Instant, Set<T>> items;

	private final int size;

	private TimerQueue(SortedMap<Instant, Set<T>> items, int size) {
		this.items = items;
		this.size = size;
	}

	/**
	 * Returns an empty queue.
	 * @param <T> the type of the items
	 * @return an empty queue
	 */
	public static <T> TimerQueue<T> empty() {
		return new TimerQueue<>(TreeMap.empty(), 0);
	}

	/**
	 * Returns this queue with an item added.
	 * @param time the due time of the item
	 * @param item the item
	 * @return the queue with the item
	 */
	public TimerQueue<T> with(Instant time, T item) {
		Set<T> otherItems = this.items.getOrElse(time, LinkedHashSet.empty());
		if (otherItems.contains(item)) {
			return this;
		}
		return new TimerQueue<>(this.items.put(time, otherItems.add(item)), this.size + 1);
	}

	/**
	 * Returns this queue without an item.
	 * @param time the due time of the item
	 * @param item the item
	 * @return the queue without the item, or this one if the item has no such due time
	 */
	public TimerQueue<T> without(Instant time, T item) {
		Set<T> itemsAtTime = this.items.getOrElse(time, LinkedHashSet.empty());
		if (!itemsAtTime.contains(item)) {
			return this;
		}
		Set<T> otherItems = itemsAtTime.remove(item);
		SortedMap<Instant, Set<T>> remaining = (otherItems.isEmpty()) ? this.items.remove(time)
				: this.items.put(time, otherItems);
		return new TimerQueue<>(remaining, this.size - 1);
	}

	/**
	 * Returns the due items in the order of their due times, and the queue without them.
	 * @param now the current time
	 * @return the due items
	 */
	public DueItems<T> pollDue(Instant now) {
		SortedMap<Instant, Set<T>> remaining = this.items;
		List<T> due = new ArrayList<>();
		while (!remaining.isEmpty() && !remaining.head()._1().isAfter(now)) {
			remaining.head()._2().forEach(due::add);
			remaining = remaining.tail();
		}
		return new DueItems<>(new TimerQueue<>(remaining, this.size - due.size()), due);
	}

	/**
	 * Returns the number of items.
	 * @return the number of items
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Due items and the remaining queue.
	 *
	 * @param <T> the type of the items
	 * @param remaining the remaining queue
	 * @param items the due items in the order of their due times
	 */
	public record DueItems<T>(TimerQueue<T> remaining, List<T> items) {

		/**
		 * Creates a result.
		 * @param remaining the remaining queue
		 * @param items the due items in the order of their due times
		 */
		public DueItems {
			items = List.copyOf(items);
		}

	}

}
