package io.sequoialink.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;

/**
 * All outside systems of one deployment on loopback. Thread-safe; the set of servers is
 * fixed once started.
 */
public final class Standins implements AutoCloseable {

	private final Outcomes outcomes;

	private final Books books = new Books();

	private final StandinLog log;

	private final StandinHostDirectory directory;

	private final StandinRatingService rating;

	private final Map<String, StandinEngine> engines = new LinkedHashMap<>();

	private final Map<String, StandinService> services = new LinkedHashMap<>();

	private Standins(Builder builder, OutcomeTable table) {
		this.outcomes = new Outcomes(table, builder.seed);
		this.log = new StandinLog(builder.clockMillis);
		this.directory = new StandinHostDirectory(builder.clockMillis);
		this.rating = new StandinRatingService(this.outcomes, builder.seed, builder.speed);
	}

	/**
	 * Begins a deployment.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @return a builder with that deployment's sizes
	 */
	public static Builder of(String deployment) {
		return new Builder(deployment);
	}

	/**
	 * Returns the log.
	 * @return the log
	 */
	public StandinLog log() {
		return this.log;
	}

	/**
	 * Returns the list of backend servers.
	 * @return the list
	 */
	public StandinHostDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the rating service.
	 * @return the service
	 */
	public StandinRatingService rating() {
		return this.rating;
	}

	/**
	 * Returns the engines.
	 * @return the engines by identifier
	 */
	public Map<String, StandinEngine> engines() {
		return Map.copyOf(this.engines);
	}

	/**
	 * Returns the servers of the plain services.
	 * @return the servers by identifier
	 */
	public Map<String, StandinService> services() {
		return Map.copyOf(this.services);
	}

	/**
	 * Returns what the backend servers did.
	 * @return the books of all servers together
	 */
	public Books books() {
		return this.books;
	}

	/**
	 * Returns how good answers are.
	 * @return the draws
	 */
	public Outcomes outcomes() {
		return this.outcomes;
	}

	@Override
	public void close() {
		this.engines.values().forEach(StandinEngine::close);
		this.services.values().forEach(StandinService::close);
		this.rating.close();
		this.directory.close();
		this.log.close();
	}

	private void start(Builder builder) throws IOException {
		if (builder.basePort > 0) {
			this.log.port(builder.basePort);
			this.directory.port(builder.basePort + 1);
			this.rating.port(builder.basePort + 2);
		}
		this.log.up();
		this.directory.up();
		this.rating.up();
		for (int index = 0; index < builder.engineCount; index++) {
			startEngine(builder, index);
		}
		for (int index = 0; index < builder.serviceCount; index++) {
			startService(builder, index);
		}
		this.directory.lag(builder.directoryLagMillis);
	}

	private void startEngine(Builder builder, int index) throws IOException {
		EngineSettings settings = EngineSettings.of("engine-" + (index + 1), builder.zone(index),
				builder.versions(index), builder.speed, builder.capacity);
		StandinEngine engine = new StandinEngine(settings, this.outcomes, this.books, builder.seed,
				builder.clockMillis);
		this.engines.put(settings.id(), engine);
		engine.up();
		this.directory.put(engine.server());
	}

	private void startService(Builder builder, int index) throws IOException {
		String id = builder.serviceServer + "-" + (index + 1);
		StandinService service = new StandinService(id, this.books, builder.seed);
		this.services.put(id, service);
		service.up();
		this.directory.put(new BackendServer(new ServerId(id), ServerKind.SERVICE, service.address().ip(),
				service.address().port(), builder.zone(index), builder.serviceNames, false));
	}

	/**
	 * Builds and starts the outside systems of one deployment. Confined to one thread.
	 */
	public static final class Builder {

		private static final int ZONES = 4;

		private final String deployment;

		private final int engineCount;

		private final int serviceCount = 4;

		private final String serviceServer;

		private final Set<String> serviceNames;

		private final List<Candidate> candidates = new ArrayList<>();

		private long seed = 1;

		private double speed = 1;

		private long directoryLagMillis;

		private int basePort;

		private int capacity = EngineSettings.CAPACITY;

		private LongSupplier clockMillis = System::currentTimeMillis;

		private OutcomeTable table;

		private Builder(String deployment) {
			boolean magnolia = "magnolia".equals(deployment);
			this.deployment = deployment;
			this.engineCount = magnolia ? 12 : 8;
			this.serviceServer = magnolia ? "webapp" : "booking";
			this.serviceNames = magnolia ? Set.of("webapp", "orders") : Set.of("booking", "deposits");
		}

		/**
		 * Sets the seed of all draws.
		 * @param newSeed the seed
		 * @return this builder
		 */
		public Builder seed(long newSeed) {
			this.seed = newSeed;
			return this;
		}

		/**
		 * Sets the factor on all times.
		 * @param factor 1 for those of the table, 0.1 for ten times as fast
		 * @return this builder
		 */
		public Builder speed(double factor) {
			this.speed = factor;
			return this;
		}

		/**
		 * Sets how many runs the batch of each engine holds.
		 * @param runs a positive number
		 * @return this builder
		 */
		public Builder capacity(int runs) {
			this.capacity = runs;
			return this;
		}

		/**
		 * Sets fixed ports of the platform's services; the backend servers take free
		 * ones.
		 * @param port port of the log; the list and the rating service follow
		 * @return this builder
		 */
		public Builder basePort(int port) {
			this.basePort = port;
			return this;
		}

		/**
		 * Sets how old the shown list of servers is.
		 * @param millis the lag in milliseconds
		 * @return this builder
		 */
		public Builder directoryLag(long millis) {
			this.directoryLagMillis = millis;
			return this;
		}

		/**
		 * Sets another table of outcomes.
		 * @param newTable the table
		 * @return this builder
		 */
		public Builder outcomes(OutcomeTable newTable) {
			this.table = newTable;
			return this;
		}

		/**
		 * Adds a version on the engines that run another one.
		 * @param id the new version
		 * @param like the version whose engines, times and cost it shares
		 * @param chanceFactor factor on that version's chances
		 * @return this builder
		 */
		public Builder candidate(String id, String like, double chanceFactor) {
			this.candidates.add(new Candidate(id, like, chanceFactor));
			return this;
		}

		/**
		 * Starts everything.
		 * @return the running stand-ins
		 * @throws IOException if a port or the table of outcomes can't be had
		 */
		public Standins start() throws IOException {
			if (this.table == null) {
				this.table = OutcomeTable.shipped(this.deployment);
			}
			OutcomeTable all = this.table;
			for (Candidate candidate : this.candidates) {
				all = all.withCandidate(candidate.id(), candidate.like(), candidate.chanceFactor());
			}
			Standins standins = new Standins(this, all);
			try {
				standins.start(this);
				return standins;
			}
			catch (IOException ex) {
				standins.close();
				throw ex;
			}
		}

		private String zone(int index) {
			return ("magnolia".equals(this.deployment) ? "us-south-" : "vest-norge-") + (char) ('a' + index % ZONES);
		}

		private Set<String> versions(int index) {
			int base = this.table.versions().size();
			Set<String> versions = new TreeSet<>();
			versions.add(this.table.versions().get(index * base / this.engineCount).id());
			for (Candidate candidate : this.candidates) {
				if (versions.contains(candidate.like())) {
					versions.add(candidate.id());
				}
			}
			return versions;
		}

		private record Candidate(String id, String like, double chanceFactor) {
		}

	}

}
