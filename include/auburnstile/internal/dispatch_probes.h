/* Open probes, sent on behalf of the dispatcher of a service. */
#ifndef AUBURNSTILE_INTERNAL_DISPATCH_PROBES_H
#define AUBURNSTILE_INTERNAL_DISPATCH_PROBES_H

#include <auburnstile/internal/upstream_set.h>

G_BEGIN_DECLS

struct aub_probes;

/* Result of a probe; all pointers are borrowed for the duration of the call. */
struct aub_probe_report {
	const char *service;
	const char *upstream;
	/* The inventory at the time of sending. */
	const struct aub_inventory *inventory;
	bool answered;
	const struct aub_upstream_signals *signals;
	guint32 busy; /* concurrent requests, as reported by the upstream */
};

typedef void aub_probe_report_callback(const struct aub_probe_report *report,
				       void *context);

/*
 * `upstreams` is borrowed. aub_probes_free() ends all probes without calling
 * the callback.
 */
struct aub_probes *aub_probes_new(struct aub_upstream_set *upstreams,
				  aub_probe_report_callback *callback,
				  void *context);
void aub_probes_free(struct aub_probes *probes);

/*
 * Sends a probe to an upstream of `inventory`. The callback is called exactly
 * once, after `timeout_us` at the latest.
 */
void aub_probes_send(struct aub_probes *probes, const char *service,
		     struct aub_inventory *inventory, guint16 upstream,
		     gint64 timeout_us);

G_END_DECLS

#endif
