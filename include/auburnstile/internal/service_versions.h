/*
 * Tracks which versions of a service's upstreams may take requests.
 *
 * One version is current. Upstreams of any other version are withheld: they
 * get requests only by an operator's rollout order (see rollout.h). If no
 * order arrives for a while, the upstreams were replaced without one and take
 * requests like the others.
 *
 * Pure decision logic: no clock, socket or random source.
 */
#ifndef AUBURNSTILE_INTERNAL_SERVICE_VERSIONS_H
#define AUBURNSTILE_INTERNAL_SERVICE_VERSIONS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_VERSIONS_MAX 32 /* of one service, tracked at the same time */
#define AUB_VERSION_NONE (-1)

struct aub_version {
	char *name;
	guint upstreams; /* registered ones */
	gint64 oldest_start_ms; /* of these, Unix time */
	gint64 present_since_us; /* since when any is registered; 0: none is */
	bool admitted; /* takes requests without an order */
	bool requires_order; /* takes requests by an order only */
};

struct aub_service_versions {
	struct aub_version list[AUB_VERSIONS_MAX];
	guint count;
	gint current; /* index, or AUB_VERSION_NONE */
	gint64 current_since_us;
	gint target; /* of an order that is not completed */
};

void aub_service_versions_init(struct aub_service_versions *versions);
/* Frees the names and resets `versions` to its initial state. */
void aub_service_versions_clear(struct aub_service_versions *versions);

/*
 * Returns the index of `name`, which is added if it is new. Returns
 * AUB_VERSION_NONE if the list is full of versions in use.
 */
gint aub_service_versions_index(struct aub_service_versions *versions,
				const char *name);
/*
 * Starts a new count of the registered upstreams. Each is then added, and
 * aub_service_versions_finish_count() determines the current version.
 */
void aub_service_versions_begin_count(struct aub_service_versions *versions);
/* Counts one upstream of version `index`, started at `started_ms`. */
void aub_service_versions_add(struct aub_service_versions *versions, gint index,
			      gint64 started_ms);
/* Removes one upstream of version `index` from the count. */
void aub_service_versions_remove(struct aub_service_versions *versions,
				 gint index);
void aub_service_versions_finish_count(struct aub_service_versions *versions,
				       gint64 now_us);

/*
 * Sets the target version of the rollout order; AUB_VERSION_NONE if there is
 * no order.
 */
void aub_service_versions_set_target(struct aub_service_versions *versions,
				     gint index, gint64 now_us);
/*
 * Completes the order for version `index`, which becomes the only active one.
 */
void aub_service_versions_complete(struct aub_service_versions *versions,
				   gint index, gint64 now_us);

/*
 * Admits versions that have been present for so long that an order for them
 * would have been received. Returns whether any was admitted.
 */
bool aub_service_versions_admit(struct aub_service_versions *versions,
				gint64 now_us);

/* Returns whether version `index` may take requests without an order. */
bool aub_service_versions_is_active(const struct aub_service_versions *versions,
				    gint index);

G_END_DECLS

#endif
