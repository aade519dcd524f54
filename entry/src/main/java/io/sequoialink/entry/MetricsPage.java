package io.sequoialink.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.sequoialink.gateway.count.DurationHistograms;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.count.LabelledCounters;

/**
 * Renders the host's metrics. Confined to the event loop. The classes of the metrics
 * library are loaded only at the first request for the page, so that they do not slow
 * down a restart.
 */
final class MetricsPage {

	private static final double MILLIS_PER_SECOND = 1000;

	private final GatewayMetrics counts;

	private final List<Gauge> gauges;

	/**
	 * Creates a page.
	 * @param counts counters and histograms of durations that the host maintains
	 * @param gauges gauges, evaluated at each rendering
	 */
	MetricsPage(GatewayMetrics counts, List<Gauge> gauges) {
		this.counts = counts;
		this.gauges = List.copyOf(gauges);
	}

	/**
	 * Renders the current metrics.
	 * @return the metrics in the Prometheus text format
	 */
	String render() {
		List<MetricSnapshot> metrics = new ArrayList<>();
		metrics.add(counter("sequoialink_requests", "Ended requests", this.counts.requests()));
		metrics.add(counter("sequoialink_sends", "Ended sends to backend servers", this.counts.attempts()));
		metrics.add(counter("sequoialink_store_calls", "Calls to the platform's store", this.counts.storeCalls()));
		metrics.add(counter("sequoialink_told_reads", "Reads of the store that other hosts told of",
				this.counts.forwardedReads()));
		metrics.add(counter("sequoialink_permits",
				"Decisions on permits for servers that take a limited number of requests", this.counts.permits()));
		metrics.add(counter("sequoialink_tunnels", "Connections to servers that other hosts were asked for",
				this.counts.tunnels()));
		metrics.add(counter("sequoialink_unexpected_heads", "Heads of servers' responses that no request took",
				this.counts.unexpectedHeads()));
		metrics.add(counter("sequoialink_load_reports_ignored", "Malformed load reports of backend servers",
				this.counts.ignoredLoadReports()));
		metrics.add(counter("sequoialink_requests_refused_for_room",
				"Requests rejected because their service was short of capacity", this.counts.refusedForRoom()));
		metrics.add(firstPartHistogram());
		this.gauges.forEach((gauge) -> metrics.add(gauge.snapshot()));
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(bytes, new MetricSnapshots(metrics));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

	private static CounterSnapshot counter(String name, String help, LabelledCounters counts) {
		CounterSnapshot.Builder metric = CounterSnapshot.builder().name(name).help(help);
		counts.counts()
			.forEach((values,
					count) -> metric.dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder()
						.labels(Labels.of(counts.names().toArray(new String[0]), values.toArray(new String[0])))
						.value(count)
						.build()));
		return metric.build();
	}

	private HistogramSnapshot firstPartHistogram() {
		HistogramSnapshot.Builder metric = HistogramSnapshot.builder()
			.name("sequoialink_first_part_seconds")
			.help("Time from the receipt of a request to the first part of its answer");
		for (Map.Entry<String, DurationHistograms.Histogram> route : this.counts.firstPartTimes()
			.histograms()
			.entrySet()) {
			metric.dataPoint(HistogramSnapshot.HistogramDataPointSnapshot.builder()
				.labels(Labels.of("route", route.getKey()))
				.sum(route.getValue().sum() / MILLIS_PER_SECOND)
				.classicHistogramBuckets(buckets(route.getValue().counts()))
				.build());
		}
		return metric.build();
	}

	private static ClassicHistogramBuckets buckets(long[] counts) {
		ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
		double[] bounds = DurationHistograms.bucketLimits();
		for (int i = 0; i < counts.length; i++) {
			buckets.bucket((i < bounds.length) ? bounds[i] / MILLIS_PER_SECOND : Double.POSITIVE_INFINITY, counts[i]);
		}
		return buckets.build();
	}

	/**
	 * A gauge: a metric whose value goes up and down. Immutable.
	 *
	 * @param name name of the metric
	 * @param help description of the metric
	 * @param value supplies the current value
	 */
	record Gauge(String name, String help, DoubleSupplier value) {

		private GaugeSnapshot snapshot() {
			return GaugeSnapshot.builder()
				.name(this.name)
				.help(this.help)
				.dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(this.value.getAsDouble()).build())
				.build();
		}

	}

}
