package io.sequoialink.catalogue;

import java.time.Duration;
import java.util.List;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.remote.LogUnavailableException;

/**
 * The configuration as one host knows it. Implementations are thread-safe; the view never
 * goes backwards.
 */
public interface Catalogue {

	/**
	 * Returns the newest folded view.
	 * @return the view
	 */
	CatalogueView view();

	/**
	 * Returns how long ago this host last confirmed, by the log or by a peer that had
	 * confirmed it, that its view was the newest.
	 * @return the age by the host's monotonic clock
	 */
	Duration age();

	/**
	 * Appends a change and waits until it is folded. A lost append answer is settled by
	 * reading the log for the change's id.
	 * @param change the change
	 * @return the fold's verdict
	 * @throws LogUnavailableException if the change was not appended, or if the log
	 * stayed out of reach before its fate was known; the message says which
	 */
	Verdict apply(Change change) throws LogUnavailableException;

	/**
	 * Returns the newest verdicts, newest first.
	 * @param limit the most verdicts to return
	 * @return verdicts that this host still holds
	 */
	List<Verdict> history(int limit);

}
