package io.sequoialink.gateway.feed;

import java.util.OptionalLong;

import io.sequoialink.gateway.fleet.StorePosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreErasTests {

	private final StoreEras eras = new StoreEras();

	private int changes;

	@BeforeEach
	void countChanges() {
		this.eras.onChange(() -> this.changes++);
	}

	private boolean observe(long era, long changesAtSend) {
		return this.eras.observe(OptionalLong.of(era), changesAtSend);
	}

	@Test
	void aStoreThatNamesNoEraIsAlwaysInTheSame() {
		assertThat(this.eras.observe(OptionalLong.empty(), this.eras.changes())).isTrue();
		assertThat(this.eras.current()).isEqualTo(StorePosition.NO_ERA);
		assertThat(this.changes).isZero();
	}

	// Guards against the return of older records (CONFIG): a response that was on its way
	// when the era changed was taken for one of the new era.
	@Test
	void aResponseThatWasOnItsWayWhenTheEraChangedIsNotOfThePresentEra() {
		assertThat(observe(3, this.eras.changes())).isTrue();
		long before = this.eras.changes();
		assertThat(observe(4, before)).isTrue();
		assertThat(observe(3, before)).isFalse();
		assertThat(this.eras.observe(OptionalLong.empty(), before)).isFalse();
		assertThat(this.eras.current()).isEqualTo(4);
		assertThat(this.changes).isEqualTo(1);
	}

	@Test
	void aLowerEraOfALaterCallIsTakenOver() {
		observe(9, this.eras.changes());
		assertThat(observe(2, this.eras.changes())).isTrue();
		assertThat(this.eras.current()).isEqualTo(2);
		assertThat(this.changes).isEqualTo(1);
	}

	@Test
	void aResponseWithoutAnEraChangesNothing() {
		observe(5, this.eras.changes());
		assertThat(this.eras.observe(OptionalLong.empty(), this.eras.changes())).isTrue();
		assertThat(this.eras.current()).isEqualTo(5);
	}

}
