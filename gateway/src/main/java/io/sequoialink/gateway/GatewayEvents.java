package io.sequoialink.gateway;

/**
 * The numbered log events of the data path. Stateless.
 */
public final class GatewayEvents {

	/** Final line of a request. */
	public static final String REQUEST_ENDED = "SL-3101 request {} of account {} on route {} ended with {}: run {}, sends {}, server {}, {} ms: {}";

	/** A send ended without a complete answer. */
	public static final String SEND_ENDED = "SL-3102 request {} send {} to {} ended: {} after {} ms";

	/** An answer was dropped for a larger model's. */
	public static final String ANSWER_DROPPED = "SL-3104 request {}: answer of {} with opinion {} dropped for {}";

	/** A backend server is avoided. */
	public static final String SERVER_AVOIDED = "SL-3103 server {} is avoided after {}";

	/** A server said that it leaves. */
	public static final String SERVER_LEAVING = "SL-3105 server {} of {} leaves, by {}: nothing more is sent there";

	/** A server asked to be spared. */
	public static final String SERVER_SPARED = "SL-3106 server {} of {} is spared for {} ms, by {}";

	/** Another host told what a server said. */
	public static final String SERVER_TOLD = "SL-3107 server {} is the last choice for a while, told by the host at {}: leaves: {}, to be spared: {}";

	/** A configuration came into force. */
	public static final String CONFIGURATION_TAKEN = "SL-3201 configuration {} is in force, read at offset {}";

	/** A record could not be read and was skipped. */
	public static final String RECORD_SKIPPED = "SL-3202 record {} at offset {} of {} was skipped: {}";

	/** The platform's store can't be read. */
	public static final String STORE_LOST = "SL-3203 {} can't be read since {} ms: {}";

	/** The platform's store is read again. */
	public static final String STORE_BACK = "SL-3204 {} is read again after {} ms, at offset {}";

	/** Backend server joined, left or changed. */
	public static final String SERVER_CHANGED = "SL-3205 server {} of {}: {}";

	/** The history was shortened or replaced, and all is read anew. */
	public static final String HISTORY_LOST = "SL-3206 history of {} is gone: it ends at {}, this host would read on at {}; read anew";

	/** The process began to serve. */
	public static final String STARTED = "SL-3001 host {} in {} serves clients at {} and answers readiness at {}";

	/** The process was asked to stop. */
	public static final String DRAINING = "SL-3002 host {} drains: {} connections, {} requests under way";

	/** The process ends. */
	public static final String STOPPED = "SL-3003 host {} stops after {} ms with {} requests under way";

	/** The settings file was read again. */
	public static final String SETTINGS_TAKEN = "SL-3005 settings were read again from {}";

	/** The settings file can't be used. */
	public static final String SETTINGS_REFUSED = "SL-3006 settings stay as they are: {}";

	/** A changed setting needs a restart. */
	public static final String SETTINGS_NEED_RESTART = "SL-3007 a changed address of this host takes effect at its next start";

	/** The host answers that it is ready. */
	public static final String READY = "SL-3009 host {} is ready: configuration {}, {} backend servers, {} ms after its start";

	/** The host answers that it is not ready any more. */
	public static final String NOT_READY = "SL-3010 host {} is not ready any more: {}";

	/** An operator ordered a roll-out. */
	public static final String ROLLOUT_ORDERED = "SL-3301 roll-out of {} to {} within {} ms was ordered at offset {}";

	/** This host gives the new version no more work. */
	public static final String ROLLOUT_STOPPED = "SL-3302 roll-out of {} to {}: answers speak against it; this host saw {} bad of {}";

	/** This host wrote a state. */
	public static final String ROLLOUT_WRITTEN = "SL-3303 roll-out of {} to {}: wrote {} at offset {}";

	/** This host could not write a state. */
	public static final String ROLLOUT_NOT_WRITTEN = "SL-3304 roll-out of {} to {}: could not write {}: {}, {}";

	/** This host could not write what it saw. */
	public static final String EVIDENCE_NOT_WRITTEN = "SL-3306 roll-out of {}: could not write what this host saw, tries again: {}, {}";

	/** A roll-out ended. */
	public static final String ROLLOUT_ENDED = "SL-3305 roll-out of {} to {} is {}, read at offset {}";

	/** What a state of a roll-out is written on. */
	public static final String ROLLOUT_JUDGED = "SL-3307 roll-out of {} to {}: {} for {} bad of {} answers of it, {} of {} of the old versions, told by {} hosts; score {}";

	/** A server crashed while it ran a request. */
	public static final String CONTENT_SUSPECT = "SL-3401 content {} is suspect: server {} crashed while it ran it, {} crashes known, this one {}";

	/** It is judged anew whether requests of a content may run. */
	public static final String CONTENT_JUDGED = "SL-3402 content {} is {} now: {} crashes known, told by {} hosts, after {}";

	/** This host could not write what it saw of crashes. */
	public static final String CRASHES_NOT_WRITTEN = "SL-3403 could not write which contents are suspect, tries again: {}, {}";

	/** A server that broke off under a request was looked at and had not crashed. */
	public static final String NOT_A_CRASH = "SL-3404 content {}: server {} broke off while it ran it, not taken for a crash: {}";

	/** The store holds a record of a host that is older than one read before. */
	public static final String RECORD_OVERTAKEN = "SL-3405 record {} at offset {} is older than one that was read before it";

	/** The newer record could not be written after an older one. */
	public static final String RECORD_NOT_WRITTEN_AGAIN = "SL-3406 could not write record {} again, tries at the next read: {}, {}";

	/** Another host reads the store for this one. */
	public static final String READER_FOUND = "SL-3501 host {} reads the store for this one, told of {} up to offset {}";

	/** No host reads for this one any more. */
	public static final String READER_LOST = "SL-3502 host {} has fallen silent, this host reads the store itself";

	/** The socket for other hosts could not be opened. */
	public static final String NO_PEER_SOCKET = "SL-3503 no datagrams of other hosts are taken at {}: {}";

	/** This host's address could not be written. */
	public static final String ADDRESS_NOT_WRITTEN = "SL-3504 could not write where this host takes datagrams, tries again: {}, {}";

	/** A host has not written its address for long. */
	public static final String PEER_FORGOTTEN = "SL-3505 host {} has not written where it takes datagrams for three hours and is forgotten";

	private GatewayEvents() {
	}

}
