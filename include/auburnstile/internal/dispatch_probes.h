/*
 * Probes under way: sent for a service's dispatcher, reported back by name.
 */
#ifndef AUBURNSTILE_INTERNAL_DISPATCH_PROBES_H
#define AUBURNSTILE_INTERNAL_DISPATCH_PROBES_H

#include <auburnstile/internal/upstream_set.h>

G_BEGIN_DECLS

struct aub_probes;

/* How a probe ended; everything is borrowed for the call. */
struct aub_probe_report {
	const char *service;
	const char *upstream;
	const struct aub_inventory *inventory; /* under which it was sent */
	bool answered;
	const struct aub_upstream_signs *signs;
	guint32 busy; /* requests at once, by its own report */
};

typedef void aub_probe_report_callback(const struct aub_probe_report *report,
				void *context);

/* `upstreams` is borrowed. Freeing ends all probes without a report. */
struct aub_probes *aub_probes_new(struct aub_upstream_set *upstreams,
				  aub_probe_report_callback *callback, void *context);
void aub_probes_free(struct aub_probes *probes);

/* Probe an upstream of `inventory`; reported once, until `timeout_us`. */
void aub_probes_send(struct aub_probes *probes, const char *service,
		     struct aub_inventory *inventory, guint16 upstream,
		     gint64 timeout_us);

G_END_DECLS

#endif
