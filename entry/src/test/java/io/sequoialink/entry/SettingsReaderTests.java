package io.sequoialink.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SettingsReaderTests {

	static final String GOOD = """
			{"host":"h1","zone":"a","clients":"127.0.0.1:8227","readiness":"127.0.0.1:8220",
			"store":{"address":"127.0.0.1:8223"},
			"bounds":{"stop_seconds":8,"leaving_millis":2000,"apply_millis":2000,"repeat_ratio":0.9,"repeat_slack":56,"repeat_window_seconds":10,
			"exposure_share":0.15,"exposure_slack":30,"session_seconds":5},"unheard_of":{"x":1}}""";

	@TempDir
	private Path folder;

	@Test
	void readsValidSettingsAndIgnoresUnknownFields() throws Exception {
		EntrySettings settings = SettingsReader.read(file(GOOD));
		assertThat(settings.host()).isEqualTo("h1");
		assertThat(settings.clients().getPort()).isEqualTo(8227);
		assertThat(settings.bounds().stopMillis()).isEqualTo(8000);
		assertThat(settings.bounds().repeatRatio()).isEqualTo(0.9);
	}

	@Test
	void peersAddressIsOptionalButMustBeValid() throws Exception {
		assertThat(SettingsReader.read(file(GOOD)).peers()).isEmpty();
		String stated = GOOD.replace("\"zone\":\"a\"", "\"zone\":\"a\",\"peers\":\"10.0.0.1:7340\"");
		assertThat(SettingsReader.read(file(stated)).peers()).get()
			.satisfies((address) -> assertThat(address.getPort()).isEqualTo(7340));
		Path wrong = file(stated.replace("10.0.0.1:7340", "10.0.0.1"));
		assertThatExceptionOfType(SettingsException.class).isThrownBy(() -> SettingsReader.read(wrong))
			.satisfies((ex) -> assertThat(ex.errors()).singleElement().asString().contains("peers is \"10.0.0.1\""));
	}

	@ParameterizedTest
	@CsvSource({ "'', 8000", "'\"sighting_bytes_per_second\":0,', 0", "'\"sighting_bytes_per_second\":2500,', 2500" })
	void sightingBytesPerSecondHasADefault(String stated, int bytes) throws Exception {
		String text = GOOD.replace("\"zone\":\"a\",", "\"zone\":\"a\"," + stated);
		assertThat(SettingsReader.read(file(text)).sightingBytesPerSecond()).isEqualTo(bytes);
	}

	@ParameterizedTest
	@CsvSource({ "-1", "'\"many\"'" })
	void rejectsInvalidSightingBytesPerSecond(String stated) throws Exception {
		Path wrong = file(
				GOOD.replace("\"zone\":\"a\",", "\"zone\":\"a\",\"sighting_bytes_per_second\":" + stated + ","));
		assertThatExceptionOfType(SettingsException.class).isThrownBy(() -> SettingsReader.read(wrong))
			.satisfies(
					(ex) -> assertThat(ex.errors()).singleElement().asString().contains("sighting_bytes_per_second"));
	}

	@Test
	void reportsAllErrorsAtOnce() throws IOException {
		Path file = file("{\"host\":7,\"clients\":\"here\",\"store\":{},\"bounds\":{\"stop_seconds\":-1}}");
		assertThatExceptionOfType(SettingsException.class).isThrownBy(() -> SettingsReader.read(file))
			.satisfies((ex) -> assertThat(ex.errors()).hasSizeGreaterThanOrEqualTo(11)
				.anyMatch((error) -> error.contains("host is 7"))
				.anyMatch((error) -> error.contains("zone is missing"))
				.anyMatch((error) -> error.contains("clients is \"here\""))
				.anyMatch((error) -> error.contains("stop_seconds is -1")));
	}

	@ParameterizedTest
	@CsvSource({ "''", "[]", "{", "7" })
	void rejectsFileThatIsNotAJsonObject(String text) throws IOException {
		Path file = file(text);
		assertThatExceptionOfType(SettingsException.class).isThrownBy(() -> SettingsReader.read(file));
	}

	@Test
	void rejectsMissingFile() {
		assertThatExceptionOfType(SettingsException.class)
			.isThrownBy(() -> SettingsReader.read(this.folder.resolve("none")));
	}

	private Path file(String text) throws IOException {
		return Files.writeString(this.folder.resolve("settings.json"), text);
	}

}
