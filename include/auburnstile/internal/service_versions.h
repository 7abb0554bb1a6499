/*
 * Which versions of a service's upstreams may take requests.
 *
 * One version is in force. Upstreams of another one are held: they are to get
 * requests only by an operators' order (see rollout.h). Where none comes for
 * a while they were replaced without one, and take part like the others.
 *
 * Plain decisions: no clock, socket or random source.
 */
#ifndef AUBURNSTILE_INTERNAL_SERVICE_VERSIONS_H
#define AUBURNSTILE_INTERNAL_SERVICE_VERSIONS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define AUB_VERSIONS_MOST 32 /* of a service, remembered at once */
#define AUB_VERSION_NONE (-1)

struct aub_version {
	char *name;
	guint upstreams; /* registered ones */
	gint64 born_ms; /* start of the oldest of these, Unix time */
	gint64 since_us; /* since when there are any */
	bool admitted; /* takes part without an order */
	bool barred; /* takes part by an order only */
};

struct aub_service_versions {
	struct aub_version list[AUB_VERSIONS_MOST];
	guint count;
	gint in_force; /* index, or AUB_VERSION_NONE */
	gint64 in_force_us; /* since when */
	gint target; /* of an order that is not completed */
};

void aub_service_versions_init(struct aub_service_versions *versions);
void aub_service_versions_clear(struct aub_service_versions *versions);

/* Index of `name`, added where it is new. */
gint aub_service_versions_index(struct aub_service_versions *versions,
				const char *name);
/* Begin to count anew what is registered ... */
void aub_service_versions_recount(struct aub_service_versions *versions);
void aub_service_versions_count(struct aub_service_versions *versions,
				gint index, gint64 born_ms);
/* One less is registered. */
void aub_service_versions_discount(struct aub_service_versions *versions,
				   gint index);
/* ... and find what is in force then. */
void aub_service_versions_counted(struct aub_service_versions *versions,
				  gint64 now_us);

/* An order moves the service to `index`; AUB_VERSION_NONE: there is none. */
void aub_service_versions_set_target(struct aub_service_versions *versions,
				     gint index, gint64 now_us);
/* The order was completed: nothing else is in force. */
void aub_service_versions_complete(struct aub_service_versions *versions,
				   gint index, gint64 now_us);

/*
 * Time has gone by in which an order would have been heard of: versions that
 * wait for none take part. True if one does now that did not.
 */
bool aub_service_versions_admit(struct aub_service_versions *versions,
				gint64 now_us);

/* May it take requests without an order? */
bool aub_service_versions_is_free(const struct aub_service_versions *versions,
				  gint index);

G_END_DECLS

#endif
