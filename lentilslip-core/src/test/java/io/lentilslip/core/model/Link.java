package io.lentilslip.core.model;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Function;

import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.sidecar.SidecarEvent;

/**
 * A link between an entry and a sidecar. Messages arrive in order or not at all; each
 * side learns of the end on its own time.
 */
final class Link {

	final Deque<Item<EntryEvent>> toEntry = new ArrayDeque<>();

	final Deque<Item<SidecarEvent>> toSidecar = new ArrayDeque<>();

	boolean wanted;

	boolean blocked;

	boolean deafSidecar;

	boolean deafEntry;

	private Optional<ProcessId> entry = Optional.empty();

	private Optional<ProcessId> sidecar = Optional.empty();

	boolean isOpen() {
		return this.entry.isPresent();
	}

	void open(ProcessId entryLife, ProcessId sidecarLife) {
		this.entry = Optional.of(entryLife);
		this.sidecar = Optional.of(sidecarLife);
		this.deafEntry = false;
		this.deafSidecar = false;
		this.toEntry.add(new Item<>(true, (now) -> new EntryEvent.SidecarLinked(sidecarLife.vm(), sidecarLife, now)));
		this.toSidecar.add(new Item<>(true, (now) -> new SidecarEvent.EntryConnected(entryLife, now)));
	}

	void cut(boolean losing) {
		if (!isOpen()) {
			return;
		}
		if (losing) {
			this.toEntry.removeIf((item) -> !item.control());
			this.toSidecar.removeIf((item) -> !item.control());
		}
		ProcessId entryLife = this.entry.orElseThrow();
		ProcessId sidecarLife = this.sidecar.orElseThrow();
		this.entry = Optional.empty();
		this.sidecar = Optional.empty();
		this.toEntry.add(new Item<>(true, (now) -> new EntryEvent.SidecarUnlinked(sidecarLife.vm(), now)));
		this.toSidecar.add(new Item<>(true, (now) -> new SidecarEvent.EntryDisconnected(entryLife, now)));
	}

	// Returns whether the message is on its way or lost, rather than surely not sent.
	boolean sendToSidecar(ProcessId target, LinkMessage.ToSidecar message) {
		if (!this.sidecar.equals(Optional.of(target))) {
			return !isOpen() && this.toEntry.stream().anyMatch(Item::control);
		}
		ProcessId from = this.entry.orElseThrow();
		if (!this.deafSidecar) {
			this.toSidecar.add(new Item<>(false, (now) -> new SidecarEvent.EntryMessageReceived(from, message, now)));
		}
		return true;
	}

	void sendToEntry(ProcessId target, LinkMessage.FromSidecar message) {
		if (this.entry.equals(Optional.of(target)) && !this.deafEntry) {
			ProcessId from = this.sidecar.orElseThrow();
			this.toEntry.add(new Item<>(false, (now) -> new EntryEvent.SidecarMessageReceived(from, message, now)));
		}
	}

	record Item<E>(boolean control, Function<Instant, E> event) {

	}

}
