package io.lentilslip.core.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable view of the teams of a configuration by their API keys.
 */
public final class Teams {

	private final Map<KeyDigest, Team> byKey;

	private final Map<String, Team> byName;

	/**
	 * Creates teams.
	 * @param byKey the teams by the digests of their keys
	 */
	public Teams(Map<KeyDigest, Team> byKey) {
		this.byKey = Map.copyOf(byKey);
		Map<String, Team> names = new HashMap<>();
		byKey.values().forEach((team) -> names.put(team.name(), team));
		this.byName = Map.copyOf(names);
	}

	/**
	 * Finds the team that holds a key.
	 * @param key the digest of the key
	 * @return the team, or empty if none holds it
	 */
	public Optional<Team> findByKey(KeyDigest key) {
		return Optional.ofNullable(this.byKey.get(key));
	}

	/**
	 * Finds a team that holds a key.
	 * @param name the name of the team
	 * @return the team, or empty if none of that name holds a key
	 */
	public Optional<Team> findByName(String name) {
		return Optional.ofNullable(this.byName.get(name));
	}

	/**
	 * Returns how many teams hold keys.
	 * @return the number
	 */
	public int size() {
		return this.byName.size();
	}

}
