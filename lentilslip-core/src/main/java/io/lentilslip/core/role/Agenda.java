package io.lentilslip.core.role;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Things to do at a time. What was put in is not taken out again when it no longer
 * matters: whoever gets it looks whether it does. Adding and taking cost a logarithm of
 * the size. Immutable and safe for use by several threads if the items are.
 *
 * @param <T> the type of the items
 */
public final class Agenda<T> {

	private final SortedMap<Place, T> items;

	private final long next;

	private Agenda(SortedMap<Place, T> items, long next) {
		this.items = items;
		this.next = next;
	}

	/**
	 * Returns an agenda without items.
	 * @param <T> the type of the items
	 * @return an empty agenda
	 */
	public static <T> Agenda<T> empty() {
		return new Agenda<>(TreeMap.empty(), 0);
	}

	/**
	 * Returns an agenda with one more item.
	 * @param time when the item is due
	 * @param item the item
	 * @return the longer agenda
	 */
	public Agenda<T> with(Instant time, T item) {
		return new Agenda<>(this.items.put(new Place(time, this.next), item), this.next + 1);
	}

	/**
	 * Returns the items that are due, in the order of their times, and the agenda without
	 * them.
	 * @param now the time up to which items are due
	 * @return the items due
	 */
	public Due<T> due(Instant now) {
		SortedMap<Place, T> left = this.items;
		List<T> due = new ArrayList<>();
		while (!left.isEmpty() && !left.head()._1().time().isAfter(now)) {
			due.add(left.head()._2());
			left = left.tail();
		}
		return new Due<>(new Agenda<>(left, this.next), due);
	}

	/**
	 * Returns the number of items.
	 * @return the number of items
	 */
	public int size() {
		return this.items.size();
	}

	/**
	 * The items that are due and the agenda that is left.
	 *
	 * @param <T> the type of the items
	 * @param agenda the agenda that is left
	 * @param items the items due, in the order of their times
	 */
	public record Due<T>(Agenda<T> agenda, List<T> items) {

		/**
		 * Creates a value.
		 * @param agenda the agenda that is left
		 * @param items the items due, in the order of their times
		 */
		public Due {
			items = List.copyOf(items);
		}

	}

	/**
	 * The place of an item, unique by its number.
	 *
	 * @param time when the item is due
	 * @param number the number of the item
	 */
	private record Place(Instant time, long number) implements Comparable<Place> {

		@Override
		public int compareTo(Place other) {
			int byTime = this.time.compareTo(other.time);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
