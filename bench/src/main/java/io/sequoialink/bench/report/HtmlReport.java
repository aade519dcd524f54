package io.sequoialink.bench.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.ExperimentResult.Point;
import io.sequoialink.bench.Target;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Writes a page with targets, figures, notes and one plot for each group of series. A
 * series named {@code group: name} belongs to the plot of its group. Needs no display.
 * Stateless; confined to one thread.
 */
public final class HtmlReport {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 500;

	private static final String SEPARATOR = ": ";

	private HtmlReport() {
	}

	/**
	 * Writes the page and its plots.
	 * @param experiment the experiment
	 * @param options options of the run; its output directory is made if it is missing
	 * @param result what was measured
	 * @return the page, or empty if no output was asked for
	 * @throws ExperimentException if a file cannot be written
	 */
	public static Optional<Path> write(Experiment experiment, ExperimentOptions options, ExperimentResult result)
			throws ExperimentException {
		if (options.output().isEmpty()) {
			return Optional.empty();
		}
		System.setProperty("java.awt.headless", "true");
		String stem = experiment.name() + "-" + options.deployment() + "-" + options.seed();
		Path page = options.output().get().resolve(stem + ".html");
		try {
			Files.createDirectories(options.output().get());
			StringBuilder html = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>");
			html.append(escape(stem)).append("</title><h1>").append(escape(stem)).append("</h1><p>");
			html.append(escape(experiment.question())).append(" Baselines: ").append(escape(experiment.baselines()));
			html.append("</p>");
			targets(html, experiment.targets(), result.figures());
			plots(html, options.output().get(), stem, result.series());
			figures(html, result);
			Files.writeString(page, html.append("</html>\n"));
		}
		catch (IOException ex) {
			throw new ExperimentException("cannot write the report to " + options.output().get(), ex);
		}
		return Optional.of(page);
	}

	private static void targets(StringBuilder html, List<Target> targets, ObjectNode figures) {
		html.append("<h2>Targets</h2><table border=\"1\"><tr><th>target<th>measured<th>verdict</tr>");
		for (Target target : targets) {
			html.append("<tr><td>").append(escape(target.toString()));
			html.append("<td>").append(escape(figures.path(target.field()).asText()));
			html.append("<td>").append(target.met(figures) ? "pass" : "short").append("</tr>");
		}
		html.append("</table>");
	}

	private static void plots(StringBuilder html, Path directory, String stem, Map<String, List<Point>> series)
			throws IOException {
		Map<String, Map<String, List<Point>>> groups = new TreeMap<>();
		series.forEach((name, points) -> {
			int end = name.indexOf(SEPARATOR);
			String group = (end < 0) ? name : name.substring(0, end);
			groups.computeIfAbsent(group, (key) -> new TreeMap<>())
				.put((end < 0) ? name : name.substring(end + SEPARATOR.length()), points);
		});
		int number = 0;
		for (Map.Entry<String, Map<String, List<Point>>> group : groups.entrySet()) {
			String file = stem + "-" + number++ + ".png";
			BitmapEncoder.saveBitmap(chart(group.getKey(), group.getValue()), directory.resolve(file).toString(),
					BitmapEncoder.BitmapFormat.PNG);
			html.append("<h2>").append(escape(group.getKey())).append("</h2><img src=\"").append(file);
			html.append("\" alt=\"").append(escape(group.getKey())).append("\">");
		}
	}

	private static XYChart chart(String title, Map<String, List<Point>> lines) {
		XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
		lines.forEach((name, points) -> {
			if (!points.isEmpty()) {
				chart
					.addSeries(name, points.stream().mapToDouble(Point::x).toArray(),
							points.stream().mapToDouble(Point::y).toArray())
					.setMarker(SeriesMarkers.NONE);
			}
		});
		return chart;
	}

	private static void figures(StringBuilder html, ExperimentResult result) {
		html.append("<h2>Figures</h2><pre>").append(escape(result.figures().toPrettyString())).append("</pre>");
		html.append("<h2>Notes</h2><pre>").append(escape(String.join("\n", result.notes()))).append("</pre>");
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
