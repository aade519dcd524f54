package io.sequoialink.model;

import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class SelectorTests {

	private static final Labels LABELS = Labels.of(Map.of("tier", "small", "family", "caption"));

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "tier=small | true", "tier==large | false", "tier!=large | true", "region!=north | true",
					"tier in (small, medium) | true", "tier notin (small) | false", "family | true", "!region | true",
					"!tier | false", "tier=small, family=caption | true", "tier=small, family=other | false" })
	void matchesIfAllRequirementsHold(String text, boolean expected) {
		assertThat(Selector.parse(text).matches(LABELS)).isEqualTo(expected);
	}

	@ParameterizedTest
	@ValueSource(strings = { "=small", "tier=", "tier in small", "tier in ()", "a b", "tier=small,,", "(a", "tier~x" })
	void rejectsMalformedRequirement(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> Selector.parse(text));
	}

}
