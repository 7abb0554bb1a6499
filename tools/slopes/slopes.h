/*
 * Measuring how the control's cost grows: pieces of tools/slopes.c.
 */
#ifndef TOOL_SLOPES_H
#define TOOL_SLOPES_H

#include "fleet/fleet.h"

#include <auburnstile/link.h>
#include <stdbool.h>
#include <stdio.h>

G_BEGIN_DECLS

/* TOML of 8 zones in 2 regions. Owned by the caller. */
char *slopes_inventory(guint services, guint upstreams);

/* An entry as a control sees one. Connects again when its link ends. */
struct slopes_entry {
	const struct fleet_member *member; /* borrowed */
	struct aub_link *link;
	guint timer;
	guint64 incarnation;
	guint64 config_version;
	gint64 config_received_us; /* when that version came */
	guint64 epoch;
	bool serve;
};

struct slopes_entry *slopes_entry_new(const struct fleet_member *member,
				      guint64 incarnation);
void slopes_entry_free(struct slopes_entry *entry);

/* Counters of one control at one moment. */
struct slopes_sample {
	gint64 taken_us;
	double processor_us;
	double network_bytes; /* both ways, the local entry's excepted */
	double messages;
	double resident_bytes;
};

bool slopes_sample_read(const struct fleet_member *member,
			struct slopes_sample *sample);

/* Calls that the stand-in store has counted. */
double slopes_read_store_calls(const struct fleet *fleet);

/* POST while the main loop runs. True when answered with 200. */
bool slopes_post_change(const struct fleet *fleet,
			const struct fleet_member *member, const char *path,
			const char *body, guint64 *version);

/* Least squares y = base + slope * x, and the largest residual. */
struct slopes_line {
	double base;
	double slope;
	double residual;
};

/* The entry's cost over calls, keys and connections, as lines of text. */
bool slopes_measure_entry(FILE *out);

struct slopes_line slopes_fit(const double *x, const double *y, guint count);

G_END_DECLS

#endif
