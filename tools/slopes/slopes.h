/* Measures how the cost of control and entry grows; used by tools/slopes.c. */
#ifndef TOOL_SLOPES_H
#define TOOL_SLOPES_H

#include "fleet/fleet.h"

#include <auburnstile/link.h>
#include <stdbool.h>
#include <stdio.h>

G_BEGIN_DECLS

/* Returns a TOML inventory of 8 zones in 2 regions. Owned by the caller. */
char *slopes_inventory(guint services, guint upstreams);

/*
 * A simulated entry for a control to connect to. Reconnects when its link goes
 * down.
 */
struct slopes_entry {
	const struct fleet_member *member; /* borrowed */
	struct aub_link *link;
	guint timer; /* to reconnect; 0 if none */
	guint64 incarnation;
	guint64 config_version;
	gint64 config_received_us; /* when that version arrived */
	guint64 epoch;
	bool serve;
};

/*
 * Connects to the control of `member`, which has to outlive the entry. Freed
 * with slopes_entry_free().
 */
struct slopes_entry *slopes_entry_new(const struct fleet_member *member,
				      guint64 incarnation);
void slopes_entry_free(struct slopes_entry *entry);

/* Counters of one control at a point in time. */
struct slopes_sample {
	gint64 taken_us;
	double processor_us;
	/* Both directions, without the link to the local entry. */
	double network_bytes;
	double messages;
	double resident_bytes;
};

/* Reads the metrics of the control of `member`. Returns false on failure. */
bool slopes_sample_read(const struct fleet_member *member,
			struct slopes_sample *sample);

/* Returns the number of calls counted by the stand-in store. */
double slopes_read_store_calls(const struct fleet *fleet);

/*
 * Sends a POST request while the main loop runs. Sets `version` and returns
 * true if the status of the answer is 200.
 */
bool slopes_post_change(const struct fleet *fleet,
			const struct fleet_member *member, const char *path,
			const char *body, guint64 *version);

/* Least-squares line y = base + slope * x, with the largest residual. */
struct slopes_line {
	double base;
	double slope;
	double residual;
};

/*
 * Measures the cost of an entry over calls, idempotency keys and connections,
 * and prints lines of text. Returns false if the fleet does not become ready.
 */
bool slopes_measure_entry(FILE *out);

/* Fits a line to `count` points by least squares. */
struct slopes_line slopes_fit(const double *x, const double *y, guint count);

G_END_DECLS

#endif
