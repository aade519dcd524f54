package io.sequoialink.gateway.place;

import java.util.HashMap;
import java.util.Map;

import io.sequoialink.gateway.fleet.StorePosition;

/**
 * Availability zones whose servers must get no requests, as ordered by the operator.
 * Confined to the event loop.
 *
 * <p>
 * Invariants: a zone is evacuated from the record that orders it until that record is
 * deleted, also while the store cannot be read. After the store has returned from an
 * older copy, neither a record that the copy still has nor one that it lacks changes what
 * was read later.
 */
public final class EvacuatedZones {

	private final Map<String, StorePosition> evacuated = new HashMap<>();

	/** Position of the last record of each zone whose evacuation has ended. */
	private final Map<String, StorePosition> ended = new HashMap<>();

	/**
	 * Returns whether the servers of a zone must get no requests. Costs next to nothing
	 * while no zone is evacuated.
	 * @param zone name of the zone, empty if unknown
	 * @return whether the zone is evacuated
	 */
	public boolean contains(String zone) {
		return !this.evacuated.isEmpty() && this.evacuated.containsKey(zone);
	}

	/**
	 * Returns the number of evacuated zones.
	 * @return number of zones
	 */
	public int count() {
		return this.evacuated.size();
	}

	/**
	 * Evacuates a zone.
	 * @param zone name of the zone
	 * @param position position of the record
	 * @return whether it was not evacuated before
	 */
	public boolean evacuate(String zone, StorePosition position) {
		this.ended.remove(zone);
		return this.evacuated.put(zone, position) == null;
	}

	/**
	 * Returns whether a record of an older copy of the store is one whose deletion this
	 * host knows. A copy keeps the offsets of its records, and what is written after its
	 * return comes later, so only a record beyond the deleted one can be news.
	 * @param zone name of the zone
	 * @param position position of the record in the copy
	 * @return whether the evacuation that it orders has ended
	 */
	public boolean endedBeforeReturn(String zone, StorePosition position) {
		StorePosition last = this.ended.get(zone);
		return last != null && position.offset() <= last.offset();
	}

	/**
	 * Ends the evacuation of a zone.
	 * @param zone name of the zone
	 */
	public void end(String zone) {
		StorePosition last = this.evacuated.remove(zone);
		if (last != null) {
			this.ended.put(zone, last);
		}
	}

}
