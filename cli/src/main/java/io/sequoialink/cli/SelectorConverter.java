package io.sequoialink.cli;

import io.sequoialink.model.Selector;
import picocli.CommandLine;

/**
 * Reads a selector from the command line. Stateless and thread-safe.
 */
final class SelectorConverter implements CommandLine.ITypeConverter<Selector> {

	@Override
	public Selector convert(String value) {
		try {
			return Selector.parse(value);
		}
		catch (IllegalArgumentException ex) {
			throw new CommandLine.TypeConversionException(ex.getMessage());
		}
	}

}
