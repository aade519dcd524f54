package io.sequoialink.catalogue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.Json;
import io.sequoialink.model.ObjectKey;

/**
 * Writes a fold state as the chunks of a checkpoint and reads it back. Equal states give
 * equal chunks, so that two hosts may write the same checkpoint without harm. Stateless
 * and thread-safe.
 */
final class Checkpoint {

	/** The bytes of one chunk before they are written as base64. */
	static final int CHUNK_BYTES = 32 * 1024;

	/** The largest state that is read, in uncompressed bytes. */
	static final int MAX_STATE_BYTES = 32 * 1024 * 1024;

	private static final int ID_DIGITS = 16;

	private Checkpoint() {
	}

	static List<ConfigRecord.ChunkRecord> write(FoldState state) {
		byte[] bytes = compress(Json.write(Content.of(state)).getBytes(StandardCharsets.UTF_8));
		String digest = digest(bytes);
		long covers = state.next() - 1;
		String id = covers + "-" + digest.substring(0, ID_DIGITS);
		int count = (bytes.length + CHUNK_BYTES - 1) / CHUNK_BYTES;
		List<ConfigRecord.ChunkRecord> chunks = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			byte[] data = Arrays.copyOfRange(bytes, i * CHUNK_BYTES, Math.min(bytes.length, (i + 1) * CHUNK_BYTES));
			chunks.add(new ConfigRecord.ChunkRecord(id, covers, i, count, digest, data));
		}
		return chunks;
	}

	/**
	 * Reads the state from all chunks in their order.
	 * @param chunks the chunks of one checkpoint
	 * @return the state
	 * @throws MalformedRecordException if the digest does not match or the content is not
	 * a state at the offset that the chunks state
	 */
	static FoldState read(List<ConfigRecord.ChunkRecord> chunks) throws MalformedRecordException {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		chunks.forEach((chunk) -> joined.writeBytes(chunk.data()));
		ConfigRecord.ChunkRecord head = chunks.get(0);
		if (!digest(joined.toByteArray()).equals(head.sha256())) {
			throw new MalformedRecordException("the digest does not match");
		}
		return decode(joined.toByteArray(), head.covers());
	}

	static FoldState decode(byte[] bytes, long covers) throws MalformedRecordException {
		try (GZIPInputStream input = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
			byte[] plain = input.readNBytes(MAX_STATE_BYTES);
			FoldState state = Json.mapper().readValue(plain, Content.class).state();
			if (state.next() - 1 != covers) {
				throw new MalformedRecordException("the state is not at offset " + covers);
			}
			return state;
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedRecordException("the content can't be read: " + ex.getClass().getSimpleName());
		}
	}

	private static byte[] compress(byte[] plain) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(output)) {
			gzip.write(plain);
		}
		catch (IOException ex) {
			throw new IllegalStateException("memory can't be written", ex);
		}
		return output.toByteArray();
	}

	static String digest(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every JDK has SHA-256", ex);
		}
	}

	/**
	 * The JSON form of a state.
	 *
	 * @param revision offset of the last folded record
	 * @param logMillis the log's time
	 * @param objects the objects
	 * @param changeIds the remembered change ids
	 */
	private record Content(long revision, long logMillis, List<Item> objects, List<ChangeIds.Entry> changeIds) {

		static Content of(FoldState state) {
			List<Item> items = state.view()
				.entries()
				.stream()
				.map((entry) -> new Item(entry, state.lastChange(entry.object().key()).orElseThrow()))
				.toList();
			return new Content(state.view().revision(), state.logMillis(), items, state.changeIds().entries());
		}

		FoldState state() {
			SortedMap<ObjectKey, FoldState.LastChange> changes = new TreeMap<>();
			this.objects.forEach((item) -> changes.put(item.entry().object().key(), item.lastChange()));
			CatalogueView view = CatalogueView.of(this.revision, this.objects.stream().map(Item::entry).toList());
			return new FoldState(view, ChangeIds.of(this.changeIds), changes, this.logMillis);
		}

	}

	/**
	 * One object of a state.
	 *
	 * @param entry the object with its revision
	 * @param lastChange who changed it last
	 */
	private record Item(CatalogueView.Entry entry, FoldState.LastChange lastChange) {
	}

}
