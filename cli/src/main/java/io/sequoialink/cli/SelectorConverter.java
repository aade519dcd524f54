package io.sequoialink.cli;

import io.sequoialink.model.Selector;
import picocli.CommandLine;

/**
 * Converts a command line argument to a label selector. Stateless and thread-safe.
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
