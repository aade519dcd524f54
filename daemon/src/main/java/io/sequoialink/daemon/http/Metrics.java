package io.sequoialink.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.VersionId;
import io.sequoialink.router.RouterObserver;

/**
 * The metrics of one host, in a registry of its own. Thread-safe.
 */
public final class Metrics implements RouterObserver {

	private static final double[] SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.66, 1, 2, 4, 8, 15, 30, 60 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Histogram firstToken = Histogram.builder()
		.name("sequoialink_first_token_seconds")
		.help("Time to the first token of an answer")
		.labelNames("account", "class")
		.classicOnly()
		.classicUpperBounds(SECONDS)
		.register(this.registry);

	private final Histogram answer = Histogram.builder()
		.name("sequoialink_answer_seconds")
		.help("Time to the whole answer")
		.labelNames("account", "class")
		.classicOnly()
		.classicUpperBounds(SECONDS)
		.register(this.registry);

	private final Counter cost = Counter.builder()
		.name("sequoialink_cost_micro_euros_total")
		.help("Billed cost in micro-euros")
		.labelNames("account", "class")
		.register(this.registry);

	private final Counter dispatches = Counter.builder()
		.name("sequoialink_dispatches_total")
		.help("Attempts sent to backend servers; candidate tells exposure to versions under roll-out")
		.labelNames("version", "candidate")
		.register(this.registry);

	private final Counter refusals = Counter.builder()
		.name("sequoialink_refusals_total")
		.help("Refused requests")
		.labelNames("account", "code")
		.register(this.registry);

	public Metrics() {
		JvmMetrics.builder().register(this.registry);
	}

	@Override
	public void dispatched(VersionId version, boolean candidate) {
		this.dispatches.labelValues(version.value(), Boolean.toString(candidate)).inc();
	}

	@Override
	public void answered(AccountId account, String requestClass, double firstTokenSeconds, double seconds,
			long microEuros) {
		this.firstToken.labelValues(account.value(), requestClass).observe(firstTokenSeconds);
		this.answer.labelValues(account.value(), requestClass).observe(seconds);
		this.cost.labelValues(account.value(), requestClass).inc(microEuros);
	}

	@Override
	public void refused(String account, RefusalCode code) {
		this.refusals.labelValues(account, code.wireName()).inc();
	}

	/**
	 * Returns the metrics in the Prometheus text format.
	 * @return the text
	 * @throws IOException if they can't be written
	 */
	byte[] text() throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		return out.toByteArray();
	}

}
