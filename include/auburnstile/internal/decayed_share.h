/*
 * The share of events of one kind among recent ones. An event counts half after
 * a half-life, and a prior stands for events while few have been seen.
 */
#ifndef AUBURNSTILE_INTERNAL_DECAYED_SHARE_H
#define AUBURNSTILE_INTERNAL_DECAYED_SHARE_H

#include <glib.h>

G_BEGIN_DECLS

/* Zero-initialized: nothing observed. */
struct aub_decayed_share {
	double hits; /* events of that kind; decayed, at `updated_us` */
	double events; /* all events */
	gint64 updated_us;
};

/* Returns what an event of age `age_us` counts; 1 if it lies ahead. */
double aub_decay(gint64 age_us, gint64 half_life_us);

/* Counts `events`, of which `hits` are of that kind. */
void aub_decayed_share_observe(struct aub_decayed_share *share, guint hits,
			       guint events, gint64 half_life_us,
			       gint64 now_us);
/* Returns the number of events that the share rests on, decayed. */
double aub_decayed_share_events(const struct aub_decayed_share *share,
				gint64 half_life_us, gint64 now_us);
/* Returns the share if `prior_events` more had had a share of `prior`. */
double aub_decayed_share_value(const struct aub_decayed_share *share,
			       double prior, double prior_events,
			       gint64 half_life_us, gint64 now_us);

G_END_DECLS

#endif
