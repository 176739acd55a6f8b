package io.lentilslip.core.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable view of the teams of a configuration, by their API keys.
 */
public final class Teams {

	private final Map<KeyDigest, Team> byKey;

	private final Map<String, Team> byName;

	/**
	 * Creates a view of teams.
	 * @param byKey the teams by the digests of their keys
	 */
	public Teams(Map<KeyDigest, Team> byKey) {
		this.byKey = Map.copyOf(byKey);
		Map<String, Team> names = new HashMap<>();
		byKey.values().forEach((team) -> names.put(team.name(), team));
		this.byName = Map.copyOf(names);
	}

	/**
	 * Finds the team of a key.
	 * @param key the digest of the key
	 * @return the team, or empty if the key is unknown
	 */
	public Optional<Team> findByKey(KeyDigest key) {
		return Optional.ofNullable(this.byKey.get(key));
	}

	/**
	 * Finds a team by name, among those with at least one key.
	 * @param name the name of the team
	 * @return the team, or empty if there is none
	 */
	public Optional<Team> findByName(String name) {
		return Optional.ofNullable(this.byName.get(name));
	}

	/**
	 * Returns the number of teams with at least one key.
	 * @return the number
	 */
	public int size() {
		return this.byName.size();
	}

}
