package io.sequoialink.gateway;

/**
 * Templates of the log events of the data path; each begins with the event number.
 * Stateless.
 */
public final class GatewayEvents {

	/** The single log line written at the end of each request. */
	public static final String REQUEST_ENDED = "SL-3101 request {} of account {} on route {} ended with {}: run {}, sends {}, server {}, {} ms: {}";

	/** An attempt at a server ended without a complete successful response. */
	public static final String ATTEMPT_ENDED = "SL-3102 request {} send {} to {} ended: {} after {} ms";

	/**
	 * A response was dropped and a larger model is asked, because of the model's low
	 * confidence.
	 */
	public static final String RESPONSE_DROPPED = "SL-3104 request {}: answer of {} with opinion {} dropped for {}";

	/** A backend server is ejected for a while after it failed or sent nothing. */
	public static final String SERVER_AVOIDED = "SL-3103 server {} is avoided temporarily after a failure: {}";

	/** A server announced its shutdown in a response. */
	public static final String SERVER_SHUTTING_DOWN = "SL-3105 server {} of {} is shutting down, according to {}: no more requests are sent to it";

	/** A server asked in a response to receive no requests for some time. */
	public static final String SERVER_BACKOFF = "SL-3106 server {} of {} gets no requests for {} ms, as requested by {}";

	/**
	 * Another host reported a server's shutdown or back-off; this host prefers other
	 * servers, but still uses it if there is none.
	 */
	public static final String SERVER_NOTICE_REPORTED = "SL-3107 server {} is used only as a last resort for now, reported by the host at {}: shutting down: {}, back-off requested: {}";

	/** A server named a limit in a response, another one, or none any more. */
	public static final String SERVER_LIMIT = "SL-3108 server {} of {} takes {} requests a second from all hosts together, according to its response to request {}; before: {}";

	/** Another host reported a limit that a server named, or that it ceased to. */
	public static final String SERVER_LIMIT_REPORTED = "SL-3109 server {} takes {} requests a second from all hosts together, reported by host {}, {} ms old; this host issues {} of 4 shares among {} hosts";

	/** A request got no permit at once for a server that takes a limited number. */
	public static final String PERMIT_DECIDED = "SL-3110 request {} and limited server {}: {}, longest wait {} ms, next permit in {} ms";

	/**
	 * No direct connection can be made to servers of a service, so the path of this host
	 * may be broken.
	 */
	public static final String PATH_SUSPECTED = "SL-3111 the path to servers of {} is suspected: {} of them could not be connected to since a connection was last made, the last, {}, {}; connections are opened through other hosts";

	/** A direct connection was made to a service whose path was suspected. */
	public static final String PATH_WHOLE = "SL-3112 the path to servers of {} is whole: connected to {}, {} ms after it was suspected";

	/** Another host has opened a connection to a server for this one. */
	public static final String CONNECTED_THROUGH_HOST = "SL-3113 connected to server {} of {} through host {} after {} ms";

	/** Another host could not help and is not asked for a while. */
	public static final String HELPING_HOST_LEFT_OUT = "SL-3114 host {} is not asked for connections to servers of {} for {} ms: {}";

	/** This host does not listen for hosts that need its help. */
	public static final String NO_TUNNELS = "SL-3115 cannot listen on {} for connections of other hosts, so this one does not help them to reach servers: {}";

	/** The servers of a service say that they are brittle, or bear another number. */
	public static final String SERVICE_BRITTLE = "SL-3116 servers of {} are brittle: one that turns away more than {} requests in a second falls over, according to {}; all hosts together send them no more than they have slots for";

	/** The servers of a service no longer say that they are brittle. */
	public static final String SERVICE_NOT_BRITTLE = "SL-3117 servers of {} are no longer brittle, according to {}";

	/** Bytes or the head of a response were not taken by the request that awaits one. */
	public static final String HEAD_NOT_TAKEN = "SL-3118 server {}: {} not taken, {}, awaited by request {}: {}";

	/**
	 * The memory for clients is short, so requests are rejected or connections closed.
	 */
	public static final String CLIENT_MEMORY_SHORT = "SL-3641 clients hold {} of {} bytes on {} connections: {} connections closed to make room since the start, {} requests rejected";

	/** There are as many client connections as the descriptors permit. */
	public static final String TOO_MANY_CLIENTS = "SL-3642 {} client connections are open, as many as permitted: {} closed for others since the start";

	/** What the host may hold for its clients, by the memory and descriptors it has. */
	public static final String CLIENT_CAPACITY = "SL-3643 clients may hold {} bytes and {} connections";

	/** A new configuration was read and applied. */
	public static final String CONFIGURATION_APPLIED = "SL-3201 configuration {} is in force, read at offset {} of era {}, by {}; before: {}";

	/** A record could not be parsed and was skipped. */
	public static final String RECORD_SKIPPED = "SL-3202 record {} at offset {} of {} was skipped: {}";

	/** A topic of the platform's store could not be read for some time. */
	public static final String STORE_UNREADABLE = "SL-3203 {} could not be read for {} ms: {}";

	/** A topic of the platform's store can be read again after an outage. */
	public static final String STORE_READABLE = "SL-3204 {} can be read again after {} ms, at offset {}";

	/** A backend server was registered, updated or removed. */
	public static final String SERVER_CHANGED = "SL-3205 server {} of {}: {}";

	/**
	 * A topic was truncated or replaced in the store; its newest records are read again.
	 */
	public static final String LOG_TRUNCATED = "SL-3206 topic {} in the store was truncated or replaced: it ends at offset {}, this host expected offset {}; reading the newest records again";

	/** The store has returned from an older copy. */
	public static final String STORE_ERA_CHANGED = "SL-3207 the store names era {}, before {}: what was written since its copy was made is lost, and offsets are given out again";

	/** A response of the store does not say to which era it belongs. */
	public static final String STORE_ERA_MISSING = "SL-3208 a response of the store names no era, it is taken for one of era {}";

	/** A configuration was read that is not later than the one in force. */
	public static final String CONFIGURATION_IGNORED = "SL-3209 configuration {}, read at offset {} of era {} by {}, is ignored: {} is in force";

	/** A topic is read again because the store has returned from an older copy. */
	public static final String TOPIC_RETURNED = "SL-3210 topic {} is read again in era {} of the store: this host expected offset {}, the topic ends at {}; {} records from before are compared with it";

	/**
	 * A call to the store did not return although another host read more records
	 * meanwhile.
	 */
	public static final String CALL_RENEWED = "SL-3211 a call for topic {} has not returned for {} ms, but another host has read up to offset {}, this one up to {}: it is made again";

	/** The copy from which the store returned has a server that has left since. */
	public static final String SERVER_NOT_REVIVED = "SL-3212 server {} of {} stays out of use although the store's older copy has it: it {}";

	/**
	 * A host that has just started does not yet use the configuration that it read, since
	 * others may have a later one.
	 */
	public static final String CONFIGURATION_HELD_BACK = "SL-3213 configuration {}, read at offset {} of era {}, is held back after the start: {}";

	/** The process accepts requests. */
	public static final String STARTED = "SL-3001 host {} in availability zone {} accepts clients at {} and readiness probes at {}";

	/** The process was asked to stop and is draining its connections. */
	public static final String DRAINING = "SL-3002 host {} is draining: {} connections, {} requests in progress";

	/** The process exits. */
	public static final String STOPPED = "SL-3003 host {} stops after draining for {} ms with {} requests in progress";

	/** The settings file was reloaded. */
	public static final String SETTINGS_RELOADED = "SL-3005 settings were reloaded from {}";

	/** The changed settings file is invalid and was ignored. */
	public static final String SETTINGS_REJECTED = "SL-3006 settings file rejected, the previous settings stay in force: {}";

	/** A changed setting needs a restart. */
	public static final String SETTINGS_NEED_RESTART = "SL-3007 a changed address of this host takes effect at the next restart";

	/** The readiness probe succeeds from now on. */
	public static final String READY = "SL-3009 host {} is ready: configuration {}, {} backend servers, {} ms after its start";

	/** The readiness probe fails from now on. */
	public static final String NOT_READY = "SL-3010 host {} is not ready any more: {}";

	/** An operator ordered a roll-out. */
	public static final String ROLLOUT_ORDERED = "SL-3301 roll-out of {} to {} within {} ms was ordered at offset {}";

	/**
	 * This host sends no more requests to the new version, because its responses are
	 * worse.
	 */
	public static final String ROLLOUT_STOPPED = "SL-3302 roll-out of {} to {}: this host sends the new version no more requests because of its responses, {} bad of {} on this host";

	/** This host wrote a new state of a roll-out to the store. */
	public static final String ROLLOUT_STATE_WRITTEN = "SL-3303 roll-out of {} to {}: wrote state {} at offset {}";

	/** This host could not write a new state of a roll-out to the store. */
	public static final String ROLLOUT_STATE_NOT_WRITTEN = "SL-3304 roll-out of {} to {}: could not write state {}: {}, {}";

	/**
	 * This host could not write its counts of good and bad responses for a roll-out to
	 * the store.
	 */
	public static final String EVIDENCE_NOT_WRITTEN = "SL-3306 roll-out of {}: could not write this host's response counts to the store, will retry: {}, {}";

	/** A roll-out ended. */
	public static final String ROLLOUT_ENDED = "SL-3305 roll-out of {} to {} is {}, read at offset {}";

	/** The copy from which the store returned has another order than this host knows. */
	public static final String ROLLOUT_ORDER_OF_COPY = "SL-3308 roll-out of {} to {}: its order at offset {} of the store's older copy is ignored unless no other is written soon; this host knows an order for {}";

	/** The response counts that led to a new state of a roll-out. */
	public static final String ROLLOUT_EVALUATED = "SL-3307 roll-out of {} to {}: state {} follows from {} bad of {} responses of the new version and {} of {} of the old versions, reported by {} hosts; score {}, evidence that it is not clearly worse {}";

	/**
	 * A server crashed while it ran a request; the last value says whether the crash was
	 * counted or may be the same event as the previous one.
	 */
	public static final String REQUEST_SUSPECTED = "SL-3401 request fingerprint {} is suspected of crashing servers: server {} crashed while running it, {} crashes counted so far, this crash was {}";

	/** The verdict on whether requests with a fingerprint may run has changed. */
	public static final String REQUEST_VERDICT_CHANGED = "SL-3402 request fingerprint {} is {} now: {} crashes known, reported by {} hosts, after {}";

	/**
	 * This host could not write its report of crashes, with the request fingerprints
	 * suspected of them, to the store.
	 */
	public static final String CRASHES_NOT_WRITTEN = "SL-3403 could not write this host's report of crashes and the request fingerprints suspected of them to the store, will retry: kind of failure {}, detail: {}";

	/**
	 * A server that closed its connection during a request was probed and had not
	 * crashed.
	 */
	public static final String NOT_A_CRASH = "SL-3404 request fingerprint {}: server {} closed the connection while running it, not counted as a crash: {}";

	/**
	 * A server closed its connection before the response of a request was complete; tells
	 * how far the response had got, and the prompt parts that other requests may have in
	 * common with this one.
	 */
	public static final String RESPONSE_LOST = "SL-3407 request {} lost its response at server {}: {} events received, {} ms after its head, prompt parts {}";

	/**
	 * This host lost requests in the crash of a server before their responses had begun.
	 */
	public static final String CRASH_REPORTED = "SL-3408 server {} crashed before {} traits of this host's requests there had got a response: {}";

	/** A trait of requests is suspected of crashing servers. */
	public static final String TRAIT_SUSPECTED = "SL-3409 {} is suspected of crashing servers: {} crashes in succession and no response since; requests with it run one at a time";

	/** A trait of requests is not suspected any more. */
	public static final String TRAIT_CLEARED = "SL-3410 {} is not suspected any more, cleared by {}";

	/** A request with suspected traits is sent alone to find out about them. */
	public static final String TRIAL_STARTED = "SL-3411 request {} is sent on trial for {}: {} crashes in succession";

	/** Requests with certain traits are blocked from now on. */
	public static final String TRAITS_BLOCKED = "SL-3412 requests with {} are blocked: {} crashes, after {}";

	/** Requests with certain traits are permitted again. */
	public static final String TRAITS_PERMITTED = "SL-3413 requests with {} are permitted again: {}";

	/** This host could not write blocked traits to the store. */
	public static final String CULPRIT_NOT_WRITTEN = "SL-3414 could not write that {} is blocked to the store, will retry: kind of failure {}, detail: {}";

	/**
	 * A server is cold from now on, or its limit became known; names what says so.
	 */
	public static final String SERVER_COLD = "SL-3611 server {} is cold for {} ms and takes {} requests a second from all hosts together meanwhile, according to {}";

	/** A server that was cold is warm. */
	public static final String SERVER_WARM = "SL-3612 server {} is not cold any more, its limit has ended";

	/**
	 * A host's record in the store was overwritten by an older one, which arrived late.
	 */
	public static final String RECORD_OVERWRITTEN = "SL-3405 record {} at offset {} is older than one read before it";

	/**
	 * After an older record had overwritten a record in the store, the newer one could
	 * not be written again.
	 */
	public static final String RECORD_NOT_RESTORED = "SL-3406 could not write record {} again, will retry at the next read: {}, {}";

	/** Another host reads the store for this one and forwards the records. */
	public static final String READER_HOST_FOUND = "SL-3501 host {} reads the store on behalf of this one: received its records of topic {} up to offset {}";

	/**
	 * The host that forwarded the records has stopped; this host reads the store itself.
	 */
	public static final String READER_HOST_LOST = "SL-3502 host {} sends no more records, this host reads the store itself";

	/** The socket for datagrams from other hosts could not be opened. */
	public static final String NO_PEER_SOCKET = "SL-3503 cannot receive datagrams from other hosts at {}: {}";

	/** This host's address for datagrams could not be written to the store. */
	public static final String ADDRESS_NOT_WRITTEN = "SL-3504 could not write this host's address for datagrams to the store, will retry: {}, {}";

	/**
	 * Another host has not renewed its address for datagrams in the store for three
	 * hours; this host sends it no more datagrams.
	 */
	public static final String PEER_REMOVED = "SL-3505 host {} has not renewed its address for datagrams for three hours and is removed from the hosts that this one sends datagrams to";

	/** The servers of an availability zone get no further requests. */
	public static final String ZONE_EVACUATED = "SL-3601 zone {} is evacuated, read at offset {} of era {}, by {}: its {} servers get no further requests";

	/** The servers of an availability zone may get requests again. */
	public static final String EVACUATION_ENDED = "SL-3602 the evacuation of zone {} has ended, read at offset {} of era {}, by {}: its {} servers may get requests again";

	/**
	 * The store's older copy lacks the record of an evacuation; only a later deletion
	 * ends it.
	 */
	public static final String EVACUATION_KEPT = "SL-3603 zone {} stays evacuated although the store's older copy has no record of it";

	/** The store's older copy has the record of an evacuation that has ended. */
	public static final String EVACUATION_NOT_REVIVED = "SL-3604 zone {} is not evacuated again by its record at offset {} of era {}, which the store's older copy has: its evacuation has ended";

	/** A request was held because its service was short of capacity. */
	public static final String HELD_FOR_ROOM = "SL-3631 request {} for service {}, account {}, priority {}, was held for {} ms: {}, newest report {} ms old; outcome: {}";

	/** A request was rejected because its service is short of capacity. */
	public static final String REFUSED_FOR_ROOM = "SL-3632 request {} for service {}, account {}, priority {}, is rejected as not run for lack of room, held for {} ms: {}, newest report {} ms old";

	private GatewayEvents() {
	}

}
