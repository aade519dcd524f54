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
 * Runs the simulated external systems of one deployment (platform log, list of backend
 * servers, rating service, model engines and plain services) on the loopback interface.
 * Thread-safe; the set of servers does not change after the start.
 */
public final class Standins implements AutoCloseable {

	private final SimulatedOutcomes outcomes;

	private final ExecutionRecorder executionRecorder = new ExecutionRecorder();

	private final StandinLog log;

	private final StandinHostDirectory directory;

	private final StandinRatingService rating;

	private final Map<String, StandinEngine> engines = new LinkedHashMap<>();

	private final Map<String, StandinService> services = new LinkedHashMap<>();

	private Standins(Builder builder, OutcomeTable table) {
		this.outcomes = new SimulatedOutcomes(table, builder.seed);
		this.log = new StandinLog(builder.clockMillis);
		this.directory = new StandinHostDirectory(builder.clockMillis);
		this.rating = new StandinRatingService(this.outcomes, builder.seed, builder.timeScale);
	}

	/**
	 * Creates a builder for the simulated external systems of a deployment.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @return a builder with that deployment's numbers of engines and names of services
	 */
	public static Builder of(String deployment) {
		return new Builder(deployment);
	}

	/**
	 * Returns the simulated platform log.
	 * @return the log, already started
	 */
	public StandinLog log() {
		return this.log;
	}

	/**
	 * Returns the platform's simulated list of backend servers.
	 * @return the list, already started
	 */
	public StandinHostDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the simulated rating service.
	 * @return the service, already started
	 */
	public StandinRatingService rating() {
		return this.rating;
	}

	/**
	 * Returns the simulated model engines.
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
	 * Returns the record of what all engines and plain services executed.
	 * @return the recorder that all backend servers share
	 */
	public ExecutionRecorder executionRecorder() {
		return this.executionRecorder;
	}

	/**
	 * Returns the object that decides the quality and length of the simulated answers.
	 * @return the outcomes that the engines and the rating service share
	 */
	public SimulatedOutcomes outcomes() {
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

	private void startAll(Builder builder) throws IOException {
		if (builder.basePort > 0) {
			this.log.setPort(builder.basePort);
			this.directory.setPort(builder.basePort + 1);
			this.rating.setPort(builder.basePort + 2);
		}
		this.log.start();
		this.directory.start();
		this.rating.start();
		for (int index = 0; index < builder.engineCount; index++) {
			startEngine(builder, index);
		}
		for (int index = 0; index < builder.serviceCount; index++) {
			startService(builder, index);
		}
		this.directory.setLag(builder.directoryLagMillis);
	}

	private void startEngine(Builder builder, int index) throws IOException {
		EngineSettings settings = EngineSettings.of("engine-" + (index + 1), builder.zone(index),
				builder.versions(index), builder.timeScale, builder.batchCapacity);
		StandinEngine engine = new StandinEngine(settings, this.outcomes, this.executionRecorder, builder.seed,
				builder.clockMillis);
		this.engines.put(settings.id(), engine);
		engine.start();
		this.directory.put(engine.directoryEntry());
	}

	private void startService(Builder builder, int index) throws IOException {
		String id = builder.serviceIdPrefix + "-" + (index + 1);
		StandinService service = new StandinService(id, this.executionRecorder, builder.seed);
		this.services.put(id, service);
		service.start();
		this.directory.put(new BackendServer(new ServerId(id), ServerKind.SERVICE, service.address().ip(),
				service.address().port(), builder.zone(index), builder.serviceNames, false));
	}

	/**
	 * Configures and starts the simulated external systems of one deployment. Confined to
	 * one thread.
	 */
	public static final class Builder {

		private static final int ZONES = 4;

		private final String deployment;

		private final int engineCount;

		private final int serviceCount = 4;

		private final String serviceIdPrefix;

		private final Set<String> serviceNames;

		private final List<Candidate> candidates = new ArrayList<>();

		private long seed = 1;

		private double timeScale = 1;

		private long directoryLagMillis;

		private int basePort;

		private int batchCapacity = EngineSettings.DEFAULT_BATCH_CAPACITY;

		private LongSupplier clockMillis = System::currentTimeMillis;

		private OutcomeTable table;

		private Builder(String deployment) {
			boolean magnolia = "magnolia".equals(deployment);
			this.deployment = deployment;
			this.engineCount = magnolia ? 12 : 8;
			this.serviceIdPrefix = magnolia ? "webapp" : "booking";
			this.serviceNames = magnolia ? Set.of("webapp", "orders") : Set.of("booking", "deposits");
		}

		/**
		 * Sets the seed of all random numbers.
		 * @param newSeed the seed, 1 by default
		 * @return this builder
		 */
		public Builder seed(long newSeed) {
			this.seed = newSeed;
			return this;
		}

		/**
		 * Sets the factor applied to all simulated durations.
		 * @param factor 1 for the durations of the outcome table, 0.1 for ten times as
		 * fast
		 * @return this builder
		 */
		public Builder timeScale(double factor) {
			this.timeScale = factor;
			return this;
		}

		/**
		 * Sets how many requests each engine runs at the same time.
		 * @param runs the batch size, a positive number
		 * @return this builder
		 */
		public Builder batchCapacity(int runs) {
			this.batchCapacity = runs;
			return this;
		}

		/**
		 * Sets fixed ports for the platform's services. Backend servers still listen on
		 * any free port.
		 * @param port port of the log; the server list listens on the next port and the
		 * rating service on the one after it; 0 for any free ports
		 * @return this builder
		 */
		public Builder basePort(int port) {
			this.basePort = port;
			return this;
		}

		/**
		 * Sets how far the list of servers lags behind its changes.
		 * @param millis the lag in milliseconds
		 * @return this builder
		 */
		public Builder directoryLagMillis(long millis) {
			this.directoryLagMillis = millis;
			return this;
		}

		/**
		 * Replaces the outcome table that is bundled for the deployment.
		 * @param newTable the outcome table
		 * @return this builder
		 */
		public Builder outcomes(OutcomeTable newTable) {
			this.table = newTable;
			return this;
		}

		/**
		 * Adds a version to all engines that run a given existing version.
		 * @param id the identifier of the new version
		 * @param baseVersion the existing version, from which it also takes times and
		 * cost
		 * @param probabilityFactor factor applied to the success probabilities of the
		 * existing version
		 * @return this builder
		 */
		public Builder addVersion(String id, String baseVersion, double probabilityFactor) {
			this.candidates.add(new Candidate(id, baseVersion, probabilityFactor));
			return this;
		}

		/**
		 * Starts all simulated systems; stops them again if one cannot start.
		 * @return the running systems
		 * @throws IOException if a server cannot listen on its port or the outcome table
		 * cannot be read
		 */
		public Standins start() throws IOException {
			if (this.table == null) {
				this.table = OutcomeTable.bundled(this.deployment);
			}
			OutcomeTable extended = this.table;
			for (Candidate candidate : this.candidates) {
				extended = extended.withCandidate(candidate.id(), candidate.baseVersion(),
						candidate.probabilityFactor());
			}
			Standins standins = new Standins(this, extended);
			try {
				standins.startAll(this);
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
			int baseCount = this.table.versions().size();
			Set<String> versions = new TreeSet<>();
			versions.add(this.table.versions().get(index * baseCount / this.engineCount).id());
			for (Candidate candidate : this.candidates) {
				if (versions.contains(candidate.baseVersion())) {
					versions.add(candidate.id());
				}
			}
			return versions;
		}

		private record Candidate(String id, String baseVersion, double probabilityFactor) {
		}

	}

}
